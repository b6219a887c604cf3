package follow

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/platform"
)

// ErrStale is returned if the store did not confirm that the cached view is current.
var ErrStale = errors.New("the store did not confirm what this host knows")

// Follower maintains a cached view of one partition of a topic. It is a suture service;
// Refresh, Complete and Records are safe for concurrent use.
type Follower struct {
	opts Options

	// mu guards the fields from listed to copiedFromPeer, except listing, and
	// serializes calls to the handler.
	mu     sync.Mutex
	listed bool
	// next is the offset of the next record to read.
	next int64
	// unavailable is set from the first failed call to the store until one succeeds.
	unavailable bool
	// confirmedAt is the time up to which the store confirmed that the view is
	// complete, zero before the first listing.
	confirmedAt time.Time
	pageSize    pageSize
	// newestByKey holds the records for other hosts if Options.Keep is set.
	newestByKey recordSet
	// listing is the unfinished listing, nil if there is none. Only Serve uses it.
	listing *listing
	// copiedFromPeer is set once the handler was given another host's cached view.
	copiedFromPeer bool

	// confirmedSentAt is when the last call was sent that confirmed that the view is
	// complete, nil before the first. Unlike confirmedAt it includes no wait at the store.
	// reachable is set if the topic is listed and the last call succeeded. Both are read by
	// each request with a key, which is not to wait for mu while a handler runs.
	confirmedSentAt atomic.Pointer[time.Time]
	reachable       atomic.Bool

	// refreshing lets one Refresh at a time read from the store.
	refreshing sync.Mutex
}

// New returns a Follower.
func New(o Options) *Follower {
	return &Follower{opts: o, pageSize: newPageSize(), newestByKey: make(recordSet)}
}

// String returns the name of the service in its supervisor's log.
func (f *Follower) String() string {
	return "follower of " + f.opts.Topic.Name
}

// Complete returns the time up to which all writes to the topic are in the cached view,
// zero before the first listing.
func (f *Follower) Complete() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

// ConfirmedSent returns when the last call was sent to the store that confirmed that the
// cached view is complete, zero before the first listing. All writes that the store
// acknowledged before that time are in the view. Another host's view confirms nothing.
func (f *Follower) ConfirmedSent() time.Time {
	if sent := f.confirmedSentAt.Load(); sent != nil {
		return *sent
	}
	return time.Time{}
}

// Reachable reports whether the topic was listed and the last call to the store succeeded,
// so that a Refresh is likely to succeed.
func (f *Follower) Reachable() bool {
	return f.reachable.Load()
}

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	retryBackoff := newBackoff()
	fallback := time.AfterFunc(peerCopyDelay, func() { f.copyFromPeer(ctx) })
	defer fallback.Stop()
	f.awaitPrerequisites(ctx)
	for ctx.Err() == nil {
		began := clock.Now()
		err := f.step(ctx)
		now := clock.Now()
		pause := readInterval(f.pause(now), f.hosts()) - now.Sub(began)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			f.markUnavailable(err)
			f.copyFromPeer(ctx)
			pause = f.retryDelay(retryBackoff.nextDelay(err, jitter()))
		} else {
			retryBackoff = newBackoff()
		}
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// pause returns the minimum time between two reads of a single host.
func (f *Follower) pause(now time.Time) time.Duration {
	if f.opts.Changing != nil && f.opts.Changing(now) {
		return f.opts.ChangingPause
	}
	return f.opts.Pause
}

// awaitPrerequisites waits until the followers in Options.After have listed their
// topics, for prerequisiteTimeout at most, and then for a random delay. Otherwise all
// hosts of a fleet that starts at once would list a day's ledger at the same time.
func (f *Follower) awaitPrerequisites(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, prerequisiteTimeout)
	defer cancel()
	for _, prerequisite := range f.opts.After {
		for prerequisite.Complete().IsZero() && ctx.Err() == nil {
			sleep(ctx, prerequisitePollInterval)
		}
	}
	if len(f.opts.After) > 0 {
		sleep(ctx, listingDelay(f.hosts(), jitter()))
	}
}

// retryDelay returns the pause after a failed call. While the topic is not listed the pause
// grows with the number of hosts, like that between reads, as all hosts may be retrying
// their listings.
func (f *Follower) retryDelay(pause time.Duration) time.Duration {
	f.mu.Lock()
	listed := f.listed
	f.mu.Unlock()
	if listed {
		return pause
	}
	return readInterval(pause, f.hosts())
}

func (f *Follower) hosts() int {
	if f.opts.Hosts == nil {
		return 1
	}
	return f.opts.Hosts()
}

// step does one read, or one listing if the topic has to be listed.
func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	listed, next := f.listed, f.next
	f.mu.Unlock()
	if !listed {
		return f.list(ctx)
	}
	return f.read(ctx, next, f.opts.Wait)
}

// Refresh returns nil once everything written before the call is in the cached view,
// or ErrStale if the store did not confirm that.
func (f *Follower) Refresh(ctx context.Context) error {
	requested := clock.Now()
	f.refreshing.Lock()
	defer f.refreshing.Unlock()
	for {
		f.mu.Lock()
		listed, next, confirmed := f.listed, f.next, !f.confirmedAt.Before(requested)
		f.mu.Unlock()
		if confirmed {
			return nil
		}
		if !listed {
			return ErrStale
		}
		// One page may not hold everything that was written, and a read may only
		// find that the records were trimmed, which requires a new listing.
		if err := f.read(ctx, next, 0); err != nil {
			return errors.Wrap(ErrStale, err.Error())
		}
	}
}

// read reads one page starting at offset from; all records before it were read.
func (f *Follower) read(ctx context.Context, from int64, wait time.Duration) error {
	sent := clock.Now()
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	f.mu.Lock()
	kilobytes := f.pageSize.kilobytes
	f.mu.Unlock()
	page, err := f.opts.Store.Read(call, f.opts.Topic, from, kilobytes, wait)
	f.adjustPageSize(err)
	if errors.Is(err, platform.ErrTrimmed) {
		f.scheduleRelisting()
		return nil
	}
	if err != nil {
		return err
	}
	if page.End < from {
		return errors.Wrapf(platform.ErrUnavailable, "read from %d on: the answer ends at %d", from, page.End)
	}
	records, err := decode(page.Records)
	if err != nil {
		_ = level.Warn(f.opts.Logger).Log("event", "record_unreadable", "topic", f.opts.Topic.Name, "err", err)
	}
	f.applyPage(sent, wait, page, records)
	return nil
}

// adjustPageSize sets the size of the next page by the outcome of a read.
func (f *Follower) adjustPageSize(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		f.pageSize.grow()
	case errors.Is(err, platform.ErrUnavailable):
		f.pageSize.shrink()
	}
}

// applyPage passes the page's records to the handler, except those that a concurrent
// read has already delivered.
func (f *Follower) applyPage(sent time.Time, wait time.Duration, page platform.Page, records []platform.KeyedRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	f.markAvailable(now)
	if page.Next > f.next {
		skip := sort.Search(len(records), func(i int) bool { return records[i].Offset >= f.next })
		f.next = page.Next
		if skip < len(records) {
			f.retain(records[skip:])
			f.opts.Handler.Changed(now, records[skip:])
		}
	}
	if page.Next < page.End {
		return
	}
	confirmed := sent
	if len(page.Records) == 0 && now.Sub(sent) >= wait {
		// The store had no new record until the end of the wait.
		confirmed = sent.Add(wait)
	}
	if confirmed.After(f.confirmedAt) {
		f.confirmedAt = confirmed
	}
	f.confirmSent(sent)
}

// confirmSent records that a call confirmed that the view is complete, after the handler got
// its records. The caller holds mu.
func (f *Follower) confirmSent(sent time.Time) {
	if sent.After(f.ConfirmedSent()) {
		f.confirmedSentAt.Store(&sent)
	}
}

// scheduleRelisting makes the next step list the topic again.
func (f *Follower) scheduleRelisting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
	f.reachable.Store(false)
	_ = level.Info(f.opts.Logger).Log("event", "history_trimmed", "topic", f.opts.Topic.Name, "next", f.next)
}

// list reads the newest record of every key. After a failure it resumes at the page
// that failed. The pages need not be consistent with one another: records appended
// since the first page are read again after the listing.
func (f *Follower) list(ctx context.Context) error {
	l := f.listing
	if l == nil {
		l = &listing{sent: clock.Now(), end: -1}
		f.listing = l
	}
	for done := false; !done; {
		page, err := f.listPage(ctx, l.after)
		if err != nil {
			return err
		}
		done = l.add(page)
	}
	f.listing = nil
	records := l.sorted()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	f.markAvailable(now)
	f.listed, f.next, f.confirmedAt = true, max(f.next, l.end), l.sent
	f.newestByKey = make(recordSet)
	f.retain(records)
	f.opts.Handler.Listed(now, records, l.end)
	f.confirmSent(l.sent)
	f.reachable.Store(true)
	_ = level.Info(f.opts.Logger).Log("event", "topic_listed", "topic", f.opts.Topic.Name, "keys", len(records), "next", l.end)
	return nil
}

// retain stores records for other hosts if Options.Keep is set. The caller holds mu.
func (f *Follower) retain(records []platform.KeyedRecord) {
	if f.opts.Keep {
		f.newestByKey.apply(records, f.opts.Redact)
	}
}

// copyFromPeer loads another host's cached view, at most once and only before this
// host's first listing.
func (f *Follower) copyFromPeer(ctx context.Context) {
	f.mu.Lock()
	needed := f.opts.Borrow != nil && f.confirmedAt.IsZero() && !f.copiedFromPeer
	f.mu.Unlock()
	if !needed || ctx.Err() != nil {
		return
	}
	records, err := f.opts.Borrow(ctx)
	if err != nil {
		_ = level.Info(f.opts.Logger).Log("event", "picture_not_borrowed", "topic", f.opts.Topic.Name, "err", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copiedFromPeer || !f.confirmedAt.IsZero() {
		return
	}
	f.copiedFromPeer = true
	end := int64(0)
	if n := len(records); n > 0 {
		end = records[n-1].Offset + 1
	}
	f.opts.Handler.Listed(clock.Now(), records, end)
	_ = level.Info(f.opts.Logger).Log("event", "picture_borrowed", "topic", f.opts.Topic.Name, "keys", len(records), "next", end)
}

// listPage reads the page of a listing that starts after the given key.
func (f *Follower) listPage(ctx context.Context, after string) (platform.Snapshot, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.opts.Store.Newest(call, f.opts.Topic, after)
}

func (f *Follower) markUnavailable(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return
	}
	f.unavailable = true
	f.reachable.Store(false)
	f.opts.Handler.Lost(clock.Now())
	_ = level.Warn(f.opts.Logger).Log("event", "store_lost", "topic", f.opts.Topic.Name, "err", err)
}

func (f *Follower) markAvailable(now time.Time) {
	if !f.unavailable {
		return
	}
	f.unavailable = false
	f.reachable.Store(f.listed)
	f.opts.Handler.Regained(now)
	_ = level.Info(f.opts.Logger).Log("event", "store_regained", "topic", f.opts.Topic.Name)
}

// decode decodes keyed records. It skips records that cannot be decoded and returns
// the last of their errors.
func decode(records []platform.Record) ([]platform.KeyedRecord, error) {
	out := make([]platform.KeyedRecord, 0, len(records))
	var failed error
	for _, r := range records {
		k, err := platform.DecodeKeyed(r)
		if err != nil {
			failed = err
			continue
		}
		out = append(out, k)
	}
	return out, failed
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
