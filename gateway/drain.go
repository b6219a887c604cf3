package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// drainNotice is how long new requests are still taken after the host is no
	// longer ready: the platform asks once a second, and takes a host out after
	// two misses.
	drainNotice = 2500 * time.Millisecond
	// drainMargin is kept free at the end of the grace period.
	drainMargin = 500 * time.Millisecond
)

// drain shuts down without cutting off a request: the host is no longer ready,
// asks clients to close their connections, and finishes what is in progress.
func (g *Gateway) drain() {
	begun := time.Now()
	g.ready.draining.Store(true)
	_ = level.Info(g.logger).Log("event", "draining", "grace_ms", g.settings.Grace.Milliseconds())
	time.Sleep(drainNotice)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(g.settings.Grace-drainMargin))
	defer cancel()
	if err := g.callers.http.Shutdown(ctx); err != nil {
		_ = level.Error(g.logger).Log("event", "drain_incomplete", "err", err)
	}
}
