package follow

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/platform"
)

// ErrStale means that the store did not confirm the picture.
var ErrStale = errors.New("the store did not confirm what this host knows")

// Follower follows one partition. It is a suture service; Refresh and Age are
// safe for concurrent use.
type Follower struct {
	opts Options

	// mu guards the position and the calls of the handler.
	mu       sync.Mutex
	listed   bool
	next     int64
	lost     bool
	complete time.Time
	page     pageSize
	kept     kept
	// listing is one that has begun; it belongs to Serve.
	listing *listing
	// borrowed tells that the handler has the picture of another host.
	borrowed bool

	// refreshing admits one confirming read at a time.
	refreshing sync.Mutex
}

// New returns a Follower.
func New(o Options) *Follower {
	return &Follower{opts: o, page: newPageSize(), kept: make(kept)}
}

// String names the service to its supervisor.
func (f *Follower) String() string {
	return "follower of " + f.opts.Topic.Name
}

// Complete returns the time up to which everything that was written is known,
// zero if nothing is.
func (f *Follower) Complete() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.complete
}

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	retries := newRetry()
	early := time.AfterFunc(borrowAfter, func() { f.borrow(ctx) })
	defer early.Stop()
	f.awaitOthers(ctx)
	for ctx.Err() == nil {
		began := clock.Now()
		err := f.step(ctx)
		pause := paced(f.opts.Pause, f.hosts()) - clock.Now().Sub(began)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			f.noteLost(err)
			f.borrow(ctx)
			pause = f.afterFailure(retries.after(err, jitter()))
		} else {
			retries = newRetry()
		}
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// awaitOthers waits until the topics before this one are listed, for afterBound at most.
// The load it answers: all hosts start together, and each lists a day's ledger.
func (f *Follower) awaitOthers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, afterBound)
	defer cancel()
	for _, o := range f.opts.After {
		for o.Complete().IsZero() && ctx.Err() == nil {
			sleep(ctx, afterPoll)
		}
	}
	if len(f.opts.After) > 0 {
		sleep(ctx, spread(f.hosts(), jitter()))
	}
}

// afterFailure returns the pause after a call that failed: a listing that did not arrive
// is one of many, and comes again as seldom as reads do.
func (f *Follower) afterFailure(pause time.Duration) time.Duration {
	f.mu.Lock()
	listed := f.listed
	f.mu.Unlock()
	if listed {
		return pause
	}
	return paced(pause, f.hosts())
}

func (f *Follower) hosts() int {
	if f.opts.Hosts == nil {
		return 1
	}
	return f.opts.Hosts()
}

// step does one call, or one listing.
func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	listed, next := f.listed, f.next
	f.mu.Unlock()
	if !listed {
		return f.list(ctx)
	}
	return f.read(ctx, next, f.opts.Wait)
}

// Refresh makes sure that everything written before the call is known, or
// returns ErrStale.
func (f *Follower) Refresh(ctx context.Context) error {
	asked := clock.Now()
	f.refreshing.Lock()
	defer f.refreshing.Unlock()
	for {
		f.mu.Lock()
		listed, next, known := f.listed, f.next, !f.complete.Before(asked)
		f.mu.Unlock()
		if known {
			return nil
		}
		if !listed {
			return ErrStale
		}
		// One page need not hold all that was written, and a read may find only
		// that the history is gone.
		if err := f.read(ctx, next, 0); err != nil {
			return errors.Wrap(ErrStale, err.Error())
		}
	}
}

// read reads on from an offset that everything before was read.
func (f *Follower) read(ctx context.Context, from int64, wait time.Duration) error {
	sent := clock.Now()
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	f.mu.Lock()
	kilobytes := f.page.kilobytes
	f.mu.Unlock()
	page, err := f.opts.Store.Read(call, f.opts.Topic, from, kilobytes, wait)
	f.judgePage(err)
	if errors.Is(err, platform.ErrTrimmed) {
		f.relist()
		return nil
	}
	if err != nil {
		return err
	}
	records, err := decode(page.Records)
	if err != nil {
		_ = level.Warn(f.opts.Logger).Log("event", "record_unreadable", "topic", f.opts.Topic.Name, "err", err)
	}
	f.applyPage(sent, wait, page, records)
	return nil
}

// judgePage lets the outcome of a read choose the size of the next.
func (f *Follower) judgePage(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		f.page.arrived()
	case errors.Is(err, platform.ErrUnavailable):
		f.page.failed()
	}
}

// applyPage hands over the records that no other read brought before.
func (f *Follower) applyPage(sent time.Time, wait time.Duration, page platform.Page, records []platform.KeyedRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	f.noteRegained(now)
	if page.Next > f.next {
		skip := sort.Search(len(records), func(i int) bool { return records[i].Offset >= f.next })
		f.next = page.Next
		if skip < len(records) {
			f.hold(records[skip:])
			f.opts.Handler.Changed(now, records[skip:])
		}
	}
	if page.Next < page.End {
		return
	}
	known := sent
	if len(page.Records) == 0 && now.Sub(sent) >= wait {
		// The store had nothing new at the end of the wait.
		known = sent.Add(wait)
	}
	if known.After(f.complete) {
		f.complete = known
	}
}

// relist makes the next step read all keys anew.
func (f *Follower) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
	_ = level.Info(f.opts.Logger).Log("event", "history_trimmed", "topic", f.opts.Topic.Name, "next", f.next)
}

// list reads the newest record of every key. One that failed goes on where it was:
// its pages are not of one moment anyway, and what was appended since the first is
// read again behind them.
func (f *Follower) list(ctx context.Context) error {
	l := f.listing
	if l == nil {
		l = &listing{sent: clock.Now(), end: -1}
		f.listing = l
	}
	for whole := false; !whole; {
		page, err := f.newest(ctx, l.after)
		if err != nil {
			return err
		}
		whole = l.add(page)
	}
	f.listing = nil
	records := l.sorted()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	f.noteRegained(now)
	f.listed, f.next, f.complete = true, max(f.next, l.end), l.sent
	f.kept = make(kept)
	f.hold(records)
	f.opts.Handler.Listed(now, records, l.end)
	_ = level.Info(f.opts.Logger).Log("event", "topic_listed", "topic", f.opts.Topic.Name, "keys", len(records), "next", l.end)
	return nil
}

// hold keeps records for other hosts. The lock is held.
func (f *Follower) hold(records []platform.KeyedRecord) {
	if f.opts.Keep {
		f.kept.apply(records)
	}
}

// borrow takes the picture of another host over, once, while this one has none.
func (f *Follower) borrow(ctx context.Context) {
	f.mu.Lock()
	needed := f.opts.Borrow != nil && f.complete.IsZero() && !f.borrowed
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
	if f.borrowed || !f.complete.IsZero() {
		return
	}
	f.borrowed = true
	end := int64(0)
	if n := len(records); n > 0 {
		end = records[n-1].Offset + 1
	}
	f.opts.Handler.Listed(clock.Now(), records, end)
	_ = level.Info(f.opts.Logger).Log("event", "picture_borrowed", "topic", f.opts.Topic.Name, "keys", len(records), "next", end)
}

func (f *Follower) newest(ctx context.Context, after string) (platform.Snapshot, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.opts.Store.Newest(call, f.opts.Topic, after)
}

func (f *Follower) noteLost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return
	}
	f.lost = true
	f.opts.Handler.Lost(clock.Now())
	_ = level.Warn(f.opts.Logger).Log("event", "store_lost", "topic", f.opts.Topic.Name, "err", err)
}

func (f *Follower) noteRegained(now time.Time) {
	if !f.lost {
		return
	}
	f.lost = false
	f.opts.Handler.Regained(now)
	_ = level.Info(f.opts.Logger).Log("event", "store_regained", "topic", f.opts.Topic.Name)
}

// decode reads the keys of records; those that can't be read are left out, and
// the last of their errors is returned.
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
