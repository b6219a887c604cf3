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
	// hostsAtFullRate is the number of hosts up to which each polls the log at
	// its configured interval. With more hosts the interval grows, up to
	// maxPollInterval.
	hostsAtFullRate = 11
	maxPollInterval = 2 * time.Second
)

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Log platform.Log
	// Interval is the time between two checks of Hint. With few hosts the log is
	// polled at the same interval.
	Interval time.Duration
	// Hint returns the highest revision known to be in force on another host, or
	// low if none is higher.
	Hint func(low int64) int64
	// Hosts returns the number of hosts in the system.
	Hosts func() int
	// Peers fetches snapshots from other hosts; nil disables that.
	Peers  Source
	Logger log.Logger
	Events *timeline.Recorder
}

// Follower keeps the revision in force up to date from the log, and from other
// hosts while the log is unavailable or trimmed. It is a suture service.
type Follower struct {
	opts     FollowerOptions
	logger   log.Logger
	current  atomic.Pointer[Revision]
	caughtUp atomic.Bool
	lastPoll time.Time

	mu      sync.Mutex
	replica *Replica
	// horizon is the lowest offset that the log retained as of the last page read.
	horizon int64
	// lastRefreshAt is when the last refresh was read, and refreshStart the offset of
	// the first record that a reader needs in addition to it.
	lastRefreshAt time.Time
	refreshStart  int64
}

// NewFollower returns a Follower.
func NewFollower(opts FollowerOptions) *Follower {
	f := &Follower{
		opts:          opts,
		logger:        log.With(opts.Logger, "duty", timeline.DutyPublication),
		replica:       NewReplica(),
		lastRefreshAt: time.Now(),
	}
	first := f.replica.Current()
	f.current.Store(&first)
	return f
}

// Current returns the revision in force on this host. Its number never decreases.
func (f *Follower) Current() *Revision {
	return f.current.Load()
}

// CaughtUp reports whether the stream was once read to its end or, while the log
// was unavailable, the highest revision of the reachable hosts was adopted.
func (f *Follower) CaughtUp() bool {
	return f.caughtUp.Load()
}

// Snapshot returns this host's state for other hosts, and whether it is complete.
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
		if f.pollDue(time.Now()) {
			f.catchUp(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// pollDue reports whether to read the log at now, because another host has a higher
// revision or the poll interval has elapsed. The interval grows with the number of
// hosts to bound their total reads per second.
func (f *Follower) pollDue(now time.Time) bool {
	number := f.Current().Number
	interval := f.opts.Interval * time.Duration(max(1, f.opts.Hosts()/hostsAtFullRate))
	if f.opts.Hint(number) <= number && now.Sub(f.lastPoll) < min(interval, max(maxPollInterval, f.opts.Interval)) {
		return false
	}
	f.lastPoll = now
	return true
}

// catchUp reads the log to its end. It adopts the snapshot of another host if records
// are missing, or if the log is unavailable and this host has never caught up or
// another one has a higher revision.
func (f *Follower) catchUp(ctx context.Context) {
	err := f.readLog(ctx)
	if err != nil {
		_ = level.Warn(f.logger).Log("msg", "configuration not read", "err", err)
	}
	f.mu.Lock()
	incomplete := f.replica.Incomplete()
	f.mu.Unlock()
	if err == nil && !incomplete {
		f.caughtUp.Store(true)
		return
	}
	number := f.Current().Number
	if incomplete || !f.CaughtUp() || f.opts.Hint(number) > number {
		f.adoptFromPeers(ctx)
	}
}

// adoptFromPeers adopts the newest snapshot of the reachable hosts.
func (f *Follower) adoptFromPeers(ctx context.Context) {
	if f.opts.Peers == nil {
		return
	}
	snapshot, err := f.opts.Peers.Highest(ctx)
	if err != nil {
		_ = level.Warn(f.logger).Log("msg", "no configuration received from other hosts", "err", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica.Adopt(snapshot) {
		f.activate("peer")
	}
	if !f.replica.Incomplete() && f.replica.Current().Number >= f.opts.Hint(NoRevision) {
		f.caughtUp.Store(true)
	}
}

func (f *Follower) readLog(ctx context.Context) error {
	for {
		f.mu.Lock()
		from := f.replica.Next()
		f.mu.Unlock()
		page, err := f.opts.Log.Read(ctx, Stream, from, readLimit)
		if errors.Is(err, platform.ErrTrimmed) {
			f.handleTrim(page.Horizon)
			continue
		}
		if err != nil {
			return err
		}
		if f.applyPage(&page) {
			return nil
		}
	}
}

func (f *Follower) handleTrim(horizon int64) {
	_ = level.Warn(f.logger).Log("msg", "configuration stream trimmed beyond the last record read", "horizon", horizon)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.MarkTrimmed(horizon)
}

// applyPage replays a page and reports whether it reaches the end of the stream.
func (f *Follower) applyPage(page *platform.Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.horizon = page.Horizon
	for i := range page.Records {
		r := &page.Records[i]
		verdict := f.replica.Apply(r.Offset, r.Data)
		f.handleVerdict(r.Offset, &verdict)
	}
	return page.Next >= page.End
}

func (f *Follower) handleVerdict(offset int64, v *Verdict) {
	switch {
	case v.Refresh != nil:
		f.lastRefreshAt = time.Now()
		f.refreshStart = v.Refresh.Start()
	case v.Outcome == Conflict || v.Outcome == Invalid || v.Outcome == Malformed:
		_ = level.Warn(f.logger).Log("msg", "change rejected", "offset", offset, "outcome", v.Outcome, "err", v.Cause)
	}
	if f.replica.Current().Number > f.current.Load().Number {
		f.activate("log")
	}
}

// activate brings the replica's revision into force on this host.
func (f *Follower) activate(source string) {
	current := f.replica.Current()
	if current.Number <= f.current.Load().Number {
		return
	}
	f.current.Store(&current)
	f.opts.Events.Record(timeline.Event{Duty: timeline.DutyPublication, Kind: "configuration-in-force", Cause: source})
	_ = level.Info(f.logger).Log("msg", "configuration in force", "revision", current.Number, "source", source)
}
