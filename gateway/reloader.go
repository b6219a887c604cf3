package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
)

// reloadEvery is the time between two looks at whether the settings file changed:
// it may change without a signal.
const reloadEvery = 2 * time.Second

// reloader reads the settings again on SIGHUP, and when their file changes. What
// can change while a host runs is applied; the rest is for its next start. It is a
// suture service.
type reloader struct {
	gateway *Gateway
	hangup  chan os.Signal
}

// newReloader returns a reloader that takes SIGHUP from now on, also once it has ended: one
// that came while the host shuts down must not kill it.
func newReloader(g *Gateway) *reloader {
	r := &reloader{gateway: g, hangup: make(chan os.Signal, 1)}
	signal.Notify(r.hangup, syscall.SIGHUP)
	return r
}

// String names the service to its supervisor.
func (r *reloader) String() string {
	return "settings"
}

// Serve implements suture.Service.
func (r *reloader) Serve(ctx context.Context) error {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	changed := r.gateway.source.changed()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.hangup:
			changed = r.gateway.source.changed()
			r.reload("signal")
		case <-tick.C:
			if now := r.gateway.source.changed(); !now.Equal(changed) {
				changed = now
				r.reload("file changed")
			}
		}
	}
}

// reload reads the settings and applies the log level and the times of jobs.
func (r *reloader) reload(cause string) {
	g := r.gateway
	s, err := g.source.Load()
	if err != nil {
		_ = level.Error(g.logger).Log("event", "settings_refused", "cause", cause, "err", err)
		return
	}
	g.levels.set(s.LogLevel)
	g.ledger.SetStatusRetention(s.JobStatus)
	_ = level.Info(g.logger).Log("event", "settings_reloaded", "cause", cause, "log_level", s.LogLevel,
		"job_status_kept", s.JobStatus, "at_next_start", g.settings.Differs(s))
}
