package publication

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/timeline"
)

const (
	// readLimit bounds the records of one read.
	readLimit = 100
	// hostsAtFullPace is the number of hosts up to which each polls the log at
	// its interval; more poll less often, up to slowestPoll.
	hostsAtFullPace = 11
	slowestPoll     = 2 * time.Second
)

// FollowerOptions are what a Follower is made of.
type FollowerOptions struct {
	Log platform.Log
	// Interval is the time between two looks at the hint; among few hosts the
	// log is polled as often.
	Interval time.Duration
	// Hint returns the highest revision that another host has in force, or low.
	Hint func(low int64) int64
	// Hosts returns the number of hosts of the system.
	Hosts func() int
	// Peers fetches revisions from other hosts; nil means there are none.
	Peers  Source
	Logger log.Logger
	Events *timeline.Recorder
}

// Follower keeps the revision in force up to date, from the log and, when that
// is out or trimmed, from other hosts. It is a suture service.
type Follower struct {
	opts    FollowerOptions
	logger  log.Logger
	current atomic.Pointer[Revision]
	caught  atomic.Bool
	polled  time.Time

	mu      sync.Mutex
	replica *Replica
	// horizon is that of the last read.
	horizon int64
	// refreshed is when the last refresh was read, and covers the offset of its
	// first record.
	refreshed time.Time
	covers    int64
}

// NewFollower returns a Follower.
func NewFollower(opts FollowerOptions) *Follower {
	f := &Follower{
		opts:      opts,
		logger:    log.With(opts.Logger, "duty", timeline.DutyPublication),
		replica:   NewReplica(),
		refreshed: time.Now(),
	}
	first := f.replica.Current()
	f.current.Store(&first)
	return f
}

// Current returns the revision in force on this host. Its number never falls.
func (f *Follower) Current() *Revision {
	return f.current.Load()
}

// CaughtUp reports whether the stream has been read to its end once, or, while
// the log was out, the highest revision of the hosts in reach was taken up.
func (f *Follower) CaughtUp() bool {
	return f.caught.Load()
}

// Snapshot returns the state of this host for another, if it is whole.
func (f *Follower) Snapshot() (Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Snapshot()
}

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	ticker := time.NewTicker(f.opts.Interval)
	defer ticker.Stop()
	for {
		if f.due(time.Now()) {
			f.follow(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// due reports whether to read the log at now: another host is ahead, or it is
// time to. Many hosts share a bounded number of reads a second.
func (f *Follower) due(now time.Time) bool {
	number := f.Current().Number
	pace := f.opts.Interval * time.Duration(max(1, f.opts.Hosts()/hostsAtFullPace))
	if f.opts.Hint(number) <= number && now.Sub(f.polled) < min(pace, max(slowestPoll, f.opts.Interval)) {
		return false
	}
	f.polled = now
	return true
}

// follow reads the log to its end; where that does not bring what other hosts
// have, it asks them.
func (f *Follower) follow(ctx context.Context) {
	err := f.poll(ctx)
	if err != nil {
		_ = level.Warn(f.logger).Log("msg", "configuration not read", "err", err)
	}
	f.mu.Lock()
	lost := f.replica.Lost()
	f.mu.Unlock()
	if err == nil && !lost {
		f.caught.Store(true)
		return
	}
	number := f.Current().Number
	if lost || !f.CaughtUp() || f.opts.Hint(number) > number {
		f.ask(ctx)
	}
}

// ask adopts the highest revision of the hosts in reach.
func (f *Follower) ask(ctx context.Context) {
	if f.opts.Peers == nil {
		return
	}
	snapshot, err := f.opts.Peers.Highest(ctx)
	if err != nil {
		_ = level.Warn(f.logger).Log("msg", "no revision from other hosts", "err", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica.Adopt(snapshot) {
		f.publish("peer")
	}
	if !f.replica.Lost() && f.replica.Current().Number >= f.opts.Hint(NoRevision) {
		f.caught.Store(true)
	}
}

func (f *Follower) poll(ctx context.Context) error {
	for {
		f.mu.Lock()
		from := f.replica.Next()
		f.mu.Unlock()
		page, err := f.opts.Log.Read(ctx, Stream, from, readLimit)
		if errors.Is(err, platform.ErrTrimmed) {
			f.trimmed(page.Horizon)
			continue
		}
		if err != nil {
			return err
		}
		if f.take(&page) {
			return nil
		}
	}
}

func (f *Follower) trimmed(horizon int64) {
	_ = level.Warn(f.logger).Log("msg", "configuration is trimmed", "horizon", horizon)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.Lose(horizon)
}

// take replays a page and reports whether it ends the stream.
func (f *Follower) take(page *platform.Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.horizon = page.Horizon
	for i := range page.Records {
		r := &page.Records[i]
		verdict := f.replica.Apply(r.Offset, r.Data)
		f.note(r.Offset, &verdict)
	}
	return page.Next >= page.End
}

func (f *Follower) note(offset int64, v *Verdict) {
	switch {
	case v.Refresh != nil:
		f.refreshed = time.Now()
		f.covers = v.Refresh.Start()
	case v.Outcome == Conflict || v.Outcome == Invalid || v.Outcome == Malformed:
		_ = level.Warn(f.logger).Log("msg", "change void", "offset", offset, "outcome", v.Outcome, "err", v.Cause)
	}
	if f.replica.Current().Number > f.current.Load().Number {
		f.publish("log")
	}
}

// publish brings the replica's revision into force.
func (f *Follower) publish(source string) {
	current := f.replica.Current()
	if current.Number <= f.current.Load().Number {
		return
	}
	f.current.Store(&current)
	f.opts.Events.Record(timeline.Event{Duty: timeline.DutyPublication, Kind: "configuration-in-force", Cause: source})
	_ = level.Info(f.logger).Log("msg", "configuration in force", "revision", current.Number, "source", source)
}
