package batch

import (
	"container/list"
	"sync"
)

// payloadCache is an LRU cache of payloads, bounded by their total size in bytes. It is
// safe for concurrent use.
type payloadCache struct {
	capacity int

	mu    sync.Mutex
	bytes int
	// recency lists the entries, the most recently used one first.
	recency *list.List
	entries map[string]*list.Element
}

// cacheEntry is a cached payload. Its content must not be modified.
type cacheEntry struct {
	name    string
	content []byte
}

func newPayloadCache(capacity int) *payloadCache {
	return &payloadCache{capacity: capacity, recency: list.New(), entries: make(map[string]*list.Element)}
}

// get returns a payload and whether it is cached.
func (c *payloadCache) get(name string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[name]
	if e == nil {
		return nil, false
	}
	c.recency.MoveToFront(e)
	return e.Value.(*cacheEntry).content, true
}

// put adds a payload and evicts the least recently used ones while the cache exceeds
// its capacity. A payload larger than the capacity is not cached.
func (c *payloadCache) put(name string, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[name] != nil || len(content) > c.capacity {
		return
	}
	c.entries[name] = c.recency.PushFront(&cacheEntry{name: name, content: content})
	c.bytes += len(content)
	for c.bytes > c.capacity {
		oldest := c.recency.Back()
		evicted := c.recency.Remove(oldest).(*cacheEntry)
		delete(c.entries, evicted.name)
		c.bytes -= len(evicted.content)
	}
}
