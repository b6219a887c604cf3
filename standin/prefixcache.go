package standin

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/engine"
)

const (
	// prefixBlockTokens is the number of prompt tokens in one cached block.
	prefixBlockTokens = 16
	// eventGap drops every such event, as engines' event streams have gaps.
	eventGap = 7
	// maxCacheEvents bounds the events that are kept for readers.
	maxCacheEvents = 4096
)

// prefixCache models an engine's cache of prompt prefixes: a bounded, least
// recently used set of blocks, each named by the hash of the prompt up to its
// end.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []engine.CacheEvent
	seq      int64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// take returns the number of tokens of prompt that are not cached, and caches
// them.
func (c *prefixCache) take(model, prompt string) int {
	words := strings.Fields(prompt)
	missing := len(words)
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	cached := true
	for start := 0; start+prefixBlockTokens <= len(words); start += prefixBlockTokens {
		for _, w := range words[start : start+prefixBlockTokens] {
			_, _ = hash.WriteString(w)
			_, _ = hash.WriteString(" ")
		}
		known := c.touch(hash.Sum64())
		cached = cached && known
		if cached {
			missing -= prefixBlockTokens
		}
	}
	return missing
}

// touch makes a block the newest and reports whether it was cached.
func (c *prefixCache) touch(block uint64) bool {
	if e, found := c.blocks[block]; found {
		c.order.MoveToFront(e)
		return true
	}
	if c.capacity == 0 {
		return false
	}
	c.blocks[block] = c.order.PushFront(block)
	c.note(block, true)
	if c.order.Len() > c.capacity {
		c.evict()
	}
	return false
}

func (c *prefixCache) evict() {
	oldest := c.order.Back()
	block := c.order.Remove(oldest).(uint64)
	delete(c.blocks, block)
	c.note(block, false)
}

func (c *prefixCache) note(block uint64, stored bool) {
	c.seq++
	if c.seq%eventGap == 0 {
		return
	}
	c.events = append(c.events, engine.CacheEvent{Seq: c.seq, Prefix: block, Stored: stored})
	if len(c.events) > maxCacheEvents {
		c.events = append([]engine.CacheEvent(nil), c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// eventsFrom returns the events of sequence number from and above that are at
// least late behind the newest.
func (c *prefixCache) eventsFrom(from, late int64) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.Seq >= from && e.Seq <= c.seq-late {
			out = append(out, e)
		}
	}
	return out
}
