package peers

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/platform"
)

// expireEvery is the time between two looks for hosts whose records are old.
const expireEvery = 500 * time.Millisecond

// Directory drives a Table. It is a follow.Handler and a suture service; Hosts is
// safe for concurrent use.
type Directory struct {
	logger log.Logger

	mu    sync.Mutex
	table *Table
	hosts atomic.Pointer[[]Host]
}

// NewDirectory returns an empty Directory.
func NewDirectory(logger log.Logger) *Directory {
	d := &Directory{logger: logger, table: NewTable()}
	d.hosts.Store(&[]Host{})
	return d
}

// Hosts returns the hosts known, in the order in which they schedule. The slice
// is not to be changed.
func (d *Directory) Hosts() []Host {
	return *d.hosts.Load()
}

// LastRecordRead returns when the newest record of a host was read, by package clock,
// zero if none was.
func (d *Directory) LastRecordRead(name string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.LastRecordRead(name)
}

// MarkAlive notes that hosts were heard of by another way than the store.
func (d *Directory) MarkAlive(names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	for _, name := range names {
		d.table.MarkAlive(now, name)
	}
}

// Listed implements follow.Handler.
func (d *Directory) Listed(now time.Time, records []platform.KeyedRecord, _ int64) {
	d.Changed(now, records)
}

// Changed implements follow.Handler.
func (d *Directory) Changed(now time.Time, records []platform.KeyedRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range records {
		d.apply(now, &records[i])
	}
	d.publish()
}

func (d *Directory) apply(now time.Time, r *platform.KeyedRecord) {
	if r.Deletes() {
		d.table.Remove(r.Offset, r.Key)
		return
	}
	h, err := decodeHost(r.Key, r.Offset, r.Value)
	if err != nil {
		_ = level.Warn(d.logger).Log("event", "host_unreadable", "name", r.Key, "offset", r.Offset, "err", err)
		return
	}
	d.table.Put(now, r.Offset, h)
}

// Lost implements follow.Handler.
func (d *Directory) Lost(time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Lost()
}

// Regained implements follow.Handler.
func (d *Directory) Regained(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Regained(now)
}

// String names the service to its supervisor.
func (d *Directory) String() string {
	return "directory of hosts"
}

// Serve implements suture.Service.
func (d *Directory) Serve(ctx context.Context) error {
	return clock.Every(ctx, expireEvery, func(time.Time) {
		d.mu.Lock()
		for _, name := range d.table.Expire(clock.Now()) {
			_ = level.Info(d.logger).Log("event", "host_expired", "name", name, "after_ms", Expiry.Milliseconds())
		}
		d.publish()
		d.mu.Unlock()
	})
}

// publish replaces the list if it changed but for heartbeats.
func (d *Directory) publish() {
	next := d.table.Hosts()
	if slices.EqualFunc(next, d.Hosts(), sameHost) {
		return
	}
	d.hosts.Store(&next)
	names := make([]string, len(next))
	for i := range next {
		names[i] = next[i].Name
	}
	_ = level.Info(d.logger).Log("event", "hosts_changed", "hosts", len(next), "order", names)
}

func sameHost(a, b Host) bool {
	a.Beat, b.Beat = 0, 0
	a.Helps, b.Helps = 0, 0
	return a == b
}
