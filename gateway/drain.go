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
	// handOverTime is kept at the end of the grace period for what batch items
	// have made: it goes to the ledger, and the host's record away.
	handOverTime = 1500 * time.Millisecond
)

// drain shuts down without cutting off a request: the host is no longer ready,
// hands its duties over, asks clients to close their connections, and finishes
// what is in progress. Batch items that don't end within drainNotice go on elsewhere.
func (g *Gateway) drain() {
	begun := time.Now()
	g.ready.draining.Store(true)
	_ = level.Info(g.logger).Log("event", "draining", "grace_ms", g.settings.Grace.Milliseconds())
	g.registrar.Leave()
	g.client.AnnounceShutdown()
	g.runner.Leave()
	time.Sleep(drainNotice)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(g.settings.Grace-handOverTime))
	defer cancel()
	// From here on callers who come are turned away by a closed listener: batch items
	// must not make that last, as another host goes on behind their last event.
	g.client.Revoke()
	if err := g.callers.http.Shutdown(ctx); err != nil {
		_ = level.Error(g.logger).Log("event", "drain_incomplete", "requests", g.forwarder.InFlight(), "err", err)
	}
	over, stop := context.WithDeadline(context.Background(), begun.Add(g.settings.Grace-handOverTime/3))
	defer stop()
	g.runner.Wait(over)
	if err := g.registrar.Remove(over); err != nil {
		_ = level.Warn(g.logger).Log("event", "host_record_left", "err", err)
	}
}
