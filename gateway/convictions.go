package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
)

const (
	// convictionsTick is the time between two looks for convictions to write or delete.
	convictionsTick = 500 * time.Millisecond
	// convictionWriteTimeout bounds one write, or one confirmation.
	convictionWriteTimeout = time.Second
)

// convictionRecord is the value of a conviction's record. The record is deleted when the
// conviction ends; until then its age is unknown to hosts that read it later.
type convictionRecord struct {
	Keys blame.Combination `json:"keys"`
}

// convictions keeps a host's list of convictions in line with the store, for hosts that
// no scheduler could tell: those that were cut off, are new or were all restarted. It is a
// follow.Handler and a suture service.
type convictions struct {
	list *blame.List
	// writer writes to the store.
	writer peers.Writer
	// confirm returns nil once every record written before the call has been applied.
	confirm func(ctx context.Context) error
	// schedules reports whether this host schedules for itself or others, and thus writes.
	schedules func() bool
	logger    log.Logger
	// started is asked to open with the first listing.
	started *starting
	wake    chan struct{}
	// listed tells that the topic was read once.
	listed atomic.Bool
	// ended are the convictions that have expired here and whose records may have to be deleted. Only
	// the goroutine of Serve uses it.
	ended map[string]blame.Combination

	mu sync.Mutex
	// stored holds the keys of the store's records by the conviction's text.
	stored map[string]blame.Combination
}

func newConvictions(logger log.Logger) *convictions {
	c := &convictions{
		logger: logger, wake: make(chan struct{}, 1), ended: make(map[string]blame.Combination), stored: make(map[string]blame.Combination),
	}
	c.list = blame.NewList(func() {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	})
	return c
}

// Listed implements follow.Handler.
func (c *convictions) Listed(_ time.Time, records []platform.KeyedRecord, _ int64) {
	c.mu.Lock()
	before := c.stored
	c.stored = make(map[string]blame.Combination)
	c.mu.Unlock()
	for i := range records {
		c.apply(&records[i])
	}
	c.mu.Lock()
	for id, keys := range before {
		if c.stored[id] == nil {
			c.list.Remove(keys)
		}
	}
	c.mu.Unlock()
	c.listed.Store(true)
	c.started.check()
}

// Changed implements follow.Handler.
func (c *convictions) Changed(_ time.Time, records []platform.KeyedRecord) {
	for i := range records {
		c.apply(&records[i])
	}
}

// Lost implements follow.Handler.
func (c *convictions) Lost(time.Time) {}

// Regained implements follow.Handler.
func (c *convictions) Regained(time.Time) {}

// apply applies one record.
func (c *convictions) apply(r *platform.KeyedRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Deletes() {
		for id, keys := range c.stored {
			if storeKey(keys) == r.Key {
				delete(c.stored, id)
				c.list.Remove(keys)
				_ = level.Info(c.logger).Log("event", "conviction_ended", "keys", id, "reason", "deleted in the store")
			}
		}
		return
	}
	var record convictionRecord
	if err := json.Unmarshal(r.Value, &record); err != nil || len(record.Keys) == 0 {
		_ = level.Warn(c.logger).Log("event", "conviction_unreadable", "key", r.Key, "offset", r.Offset, "err", err)
		return
	}
	keys := blame.NewCombination(record.Keys...)
	c.stored[keys.String()] = keys
	if c.list.Add(time.Now(), blame.Conviction{Keys: keys, Left: blame.ConvictionTTL}) {
		_ = level.Warn(c.logger).Log("event", "conviction_learned", "keys", keys.String(), "from", "store", "left_ms", blame.ConvictionTTL.Milliseconds())
	}
}

// String names the service to its supervisor.
func (c *convictions) String() string {
	return "convictions"
}

// Serve implements suture.Service.
func (c *convictions) Serve(ctx context.Context) error {
	tick := time.NewTicker(convictionsTick)
	defer tick.Stop()
	for {
		c.expire(ctx)
		if c.schedules() {
			c.writeMissing(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		case <-tick.C:
		}
	}
}

// expire ends the convictions whose time is over, also in the store. Records are deleted only once what
// others wrote before is known: while this host stood still they may have convicted the same requests again.
func (c *convictions) expire(ctx context.Context) {
	for _, keys := range c.list.Expire(time.Now()) {
		c.ended[keys.String()] = keys
		_ = level.Info(c.logger).Log("event", "conviction_ended", "keys", keys.String(), "reason", "expired")
	}
	if !c.anyStored() {
		clear(c.ended)
		return
	}
	call, cancel := context.WithTimeout(ctx, convictionWriteTimeout)
	defer cancel()
	if err := c.confirm(call); err != nil {
		_ = level.Debug(c.logger).Log("event", "conviction_not_deleted", "convictions", len(c.ended), "err", err)
		return
	}
	for id, keys := range c.ended {
		if !c.isStored(id) || c.list.Has(time.Now(), keys) || c.append(ctx, storeKey(keys), nil) {
			delete(c.ended, id)
		}
	}
}

// anyStored reports whether the store has the record of a conviction that has expired here.
func (c *convictions) anyStored() bool {
	for id := range c.ended {
		if c.isStored(id) {
			return true
		}
	}
	return false
}

// isStored reports whether the store has the record of a conviction, as far as this host has read.
func (c *convictions) isStored(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stored[id] != nil
}

// writeMissing writes the convictions that the store lacks, once the topic was listed.
func (c *convictions) writeMissing(ctx context.Context) {
	if !c.listed.Load() {
		return
	}
	for _, v := range c.list.All(time.Now()) {
		id := v.Keys.String()
		if c.isStored(id) {
			continue
		}
		// Encoding can't fail: the record holds only text.
		value, _ := json.Marshal(convictionRecord{Keys: v.Keys})
		if c.append(ctx, storeKey(v.Keys), value) {
			c.mu.Lock()
			c.stored[id] = v.Keys
			c.mu.Unlock()
		}
	}
}

// append writes one record and reports whether the store took it.
func (c *convictions) append(ctx context.Context, key string, value []byte) bool {
	call, cancel := context.WithTimeout(ctx, convictionWriteTimeout)
	defer cancel()
	_, err := c.writer.Append(call, platform.TopicConvictions, [][]byte{platform.EncodeKeyed(key, value)})
	if err != nil {
		_ = level.Warn(c.logger).Log("event", "conviction_not_written", "key", key, "err", err)
	}
	return err == nil
}

// storeKey returns the key of a conviction's record.
func storeKey(keys blame.Combination) string {
	return strconv.FormatUint(xxhash.Sum64String(keys.String()), 36)
}
