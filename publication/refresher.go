package publication

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/clock"
)

// Refresher appends refreshes of the revision in force before the start of the
// last one passes the log's horizon. One host does it; two that do it at the
// same time cost records only. It is a suture service.
type Refresher struct {
	follower *Follower
	interval time.Duration
	// leads reports whether it is for this host to refresh.
	leads func() bool
}

// refreshChecks is how often in an interval a Refresher looks.
const refreshChecks = 20

// NewRefresher returns a Refresher that refreshes every interval.
func NewRefresher(f *Follower, interval time.Duration, leads func() bool) *Refresher {
	return &Refresher{follower: f, interval: interval, leads: leads}
}

// Serve implements suture.Service.
func (r *Refresher) Serve(ctx context.Context) error {
	return clock.Every(ctx, max(r.interval/refreshChecks, time.Millisecond), func(now time.Time) {
		if r.leads() && r.follower.needsRefresh(now, r.interval) {
			r.refresh(ctx)
		}
	})
}

// String names the service to its supervisor.
func (r *Refresher) String() string {
	return "configuration refresh"
}

func (r *Refresher) refresh(ctx context.Context) {
	snapshot, ok := r.follower.Snapshot()
	if !ok {
		return
	}
	if err := AppendRefresh(ctx, r.follower.opts.Log, rand.Text(), &snapshot); err != nil {
		_ = level.Warn(r.follower.logger).Log("msg", "configuration not refreshed", "err", err)
	}
}

// needsRefresh reports whether a reader that starts at now would soon find no
// whole configuration in the log.
func (f *Follower) needsRefresh(now time.Time, interval time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica.Lost() || f.replica.Current().Number == NoRevision {
		return false
	}
	return f.covers < f.horizon || now.Sub(f.refreshed) >= interval
}
