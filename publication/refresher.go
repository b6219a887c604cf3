package publication

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/clock"
)

// Refresher appends refreshes of the revision in force before the log's horizon
// passes the start of the last refresh. One host at a time should do so; if two do,
// the only cost is redundant records. It is a suture service.
type Refresher struct {
	follower *Follower
	interval time.Duration
	// isLeader reports whether this host is responsible for refreshing.
	isLeader func() bool
}

// checksPerInterval is how many times per interval a Refresher checks whether a
// refresh is needed.
const checksPerInterval = 20

// NewRefresher returns a Refresher that appends a refresh every interval while
// isLeader returns true, and earlier if the log's horizon has passed the start of the
// last one.
func NewRefresher(f *Follower, interval time.Duration, isLeader func() bool) *Refresher {
	return &Refresher{follower: f, interval: interval, isLeader: isLeader}
}

// Serve implements suture.Service.
func (r *Refresher) Serve(ctx context.Context) error {
	return clock.Every(ctx, max(r.interval/checksPerInterval, time.Millisecond), func(now time.Time) {
		if r.isLeader() && r.follower.needsRefresh(now, r.interval) {
			r.refresh(ctx)
		}
	})
}

// String returns the name of the service in its supervisor's log.
func (r *Refresher) String() string {
	return "configuration refresh"
}

func (r *Refresher) refresh(ctx context.Context) {
	snapshot, ok := r.follower.Snapshot()
	if !ok {
		return
	}
	if err := AppendRefresh(ctx, r.follower.opts.Log, rand.Text(), &snapshot); err != nil {
		_ = level.Warn(r.follower.logger).Log("msg", "refresh of the configuration not appended", "err", err)
	}
}

// needsRefresh reports whether readers that start soon after now could fail to find
// a complete configuration in the log.
func (f *Follower) needsRefresh(now time.Time, interval time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica.Incomplete() || f.replica.Current().Number == NoRevision {
		return false
	}
	return f.refreshStart < f.horizon || now.Sub(f.lastRefreshAt) >= interval
}
