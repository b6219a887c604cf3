package keeper

import (
	"context"
	"sync"

	"github.com/peridotmount/peridotmount/ledger"
)

// maxCachedRecords is the maximum number of records in a cache.
const maxCachedRecords = 4

// recordCache is an LRU cache of records; consecutive items are usually in the
// same record. Concurrent requests for a record share one read. Failed reads are
// not cached. It is safe for concurrent use.
type recordCache struct {
	fetch func(ctx context.Context, offset int64) (*ledger.Record, error)

	mu      sync.Mutex
	entries []*cachedRecord
}

type cachedRecord struct {
	offset int64
	done   chan struct{}
	record *ledger.Record
	err    error
}

func newRecordCache(fetch func(ctx context.Context, offset int64) (*ledger.Record, error)) *recordCache {
	return &recordCache{fetch: fetch}
}

func (c *recordCache) get(ctx context.Context, offset int64) (*ledger.Record, error) {
	e, owner := c.lookup(offset)
	if owner {
		// Other callers may wait for this read, so it must not be cancelled with
		// the context of this one.
		go c.fill(context.WithoutCancel(ctx), e)
	}
	select {
	case <-e.done:
		return e.record, e.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fill reads the record of an entry.
func (c *recordCache) fill(ctx context.Context, e *cachedRecord) {
	e.record, e.err = c.fetch(ctx, e.offset)
	if e.err != nil {
		c.remove(e)
	}
	close(e.done)
}

// lookup returns the entry of a record, which it adds if there is none. owner is
// true if it was added: the caller has to fill it.
func (c *recordCache) lookup(offset int64) (e *cachedRecord, owner bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, e := range c.entries {
		if e.offset == offset {
			c.entries = append(append(c.entries[:i:i], c.entries[i+1:]...), e)
			return e, false
		}
	}
	e = &cachedRecord{offset: offset, done: make(chan struct{})}
	c.entries = append(c.entries, e)
	if len(c.entries) > maxCachedRecords {
		c.entries = c.entries[1:]
	}
	return e, true
}

func (c *recordCache) remove(e *cachedRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.entries {
		if c.entries[i] == e {
			c.entries = append(c.entries[:i:i], c.entries[i+1:]...)
			return
		}
	}
}
