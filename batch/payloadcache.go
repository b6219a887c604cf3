package batch

import (
	"container/list"
	"sync"
)

// payloadCache keeps the payloads used last, up to a number of bytes. It is safe
// for concurrent use.
type payloadCache struct {
	capacity int

	mu    sync.Mutex
	bytes int
	// order has the one used last at its front.
	order   *list.List
	entries map[string]*list.Element
}

// cached is a payload in the cache; nobody changes its content.
type cached struct {
	name    string
	content []byte
}

func newPayloadCache(capacity int) *payloadCache {
	return &payloadCache{capacity: capacity, order: list.New(), entries: make(map[string]*list.Element)}
}

// get returns a payload and whether it is kept.
func (c *payloadCache) get(name string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[name]
	if e == nil {
		return nil, false
	}
	c.order.MoveToFront(e)
	return e.Value.(*cached).content, true
}

// put keeps a payload, and forgets those that were not used for longest.
func (c *payloadCache) put(name string, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[name] != nil || len(content) > c.capacity {
		return
	}
	c.entries[name] = c.order.PushFront(&cached{name: name, content: content})
	c.bytes += len(content)
	for c.bytes > c.capacity {
		oldest := c.order.Back()
		gone := c.order.Remove(oldest).(*cached)
		delete(c.entries, gone.name)
		c.bytes -= len(gone.content)
	}
}
