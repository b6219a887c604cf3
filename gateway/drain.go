package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/forward"
)

const (
	// drainNotice is how long new requests are still passed on after the host is no
	// longer ready: the platform asks once a second, and takes a host out after
	// two misses.
	drainNotice = 2500 * time.Millisecond
	// handOverTime is kept at the end of the grace period for what batch items
	// have made: it goes to the ledger, and the host's record away.
	handOverTime = 1500 * time.Millisecond
	// lastPart is the part of the grace period before whose begin no request may be ended
	// that an endpoint works on, lastPartMargin how much later they are. minHandOverTime is
	// kept for what follows.
	lastPart        = 1.0 / 6
	lastPartMargin  = 100 * time.Millisecond
	minHandOverTime = time.Second
	// answerTime is the time in which requests that were ended get their answers.
	answerTime = 250 * time.Millisecond
	// logTime is the time in which requests that were cut log their ends, logTick that between
	// two looks whether they have.
	logTime = 100 * time.Millisecond
	logTick = 5 * time.Millisecond
)

// requestTime returns how long after its beginning a drain waits for requests in flight.
func requestTime(grace time.Duration) time.Duration {
	untilLastPart := grace - time.Duration(lastPart*float64(grace)) + lastPartMargin
	return min(max(grace-handOverTime, untilLastPart), grace-minHandOverTime)
}

// shutdownSchedule returns the schedule of a drain that begins at a time.
func shutdownSchedule(begun time.Time, grace time.Duration) *forward.Shutdown {
	ends := requestTime(grace)
	return &forward.Shutdown{Closes: begun.Add(min(drainNotice, ends)), Ends: begun.Add(ends)}
}

// drain shuts down without cutting off a request: the host is no longer ready,
// hands its duties over, asks clients to close their connections, and finishes
// what is in progress; what doesn't end in time is answered that it may have run, or not. It takes
// requests that end in time for drainNotice, and refuses all that come later.
// Batch items that don't end within drainNotice go on elsewhere.
func (g *Gateway) drain() {
	begun := time.Now()
	schedule := shutdownSchedule(begun, g.settings.Grace)
	g.ready.shutdown.Store(schedule)
	_ = level.Info(g.logger).Log("event", "draining", "grace_ms", g.settings.Grace.Milliseconds())
	g.registrar.Leave()
	g.client.AnnounceShutdown()
	g.runner.Leave()
	time.Sleep(time.Until(schedule.Closes))
	// From here on callers who come are refused, and then turned away by a closed listener:
	// batch items must not make that last, as another host goes on behind their last event.
	g.client.Revoke()
	if !g.finishRequests(schedule.Ends) {
		_ = level.Error(g.logger).Log("event", "drain_incomplete", "requests", g.forwarder.InFlight())
		g.forwarder.EndRequests()
		if !g.finishRequests(schedule.Ends.Add(answerTime)) {
			_ = level.Error(g.logger).Log("event", "requests_cut", "requests", g.forwarder.InFlight())
			g.cutRequests()
		}
	}
	over, stop := context.WithDeadline(context.Background(), begun.Add(g.settings.Grace-handOverTime/3))
	defer stop()
	g.runner.Wait(over)
	if g.helper.Wait(over); g.helper.InProgress() > 0 {
		_ = level.Error(g.logger).Log("event", "detours_cut", "calls", g.helper.InProgress())
	}
	if err := g.registrar.Remove(over); err != nil {
		_ = level.Warn(g.logger).Log("event", "host_record_left", "err", err)
	}
}

// cutRequests closes the connections of all callers, and gives their requests time to log why they
// end.
func (g *Gateway) cutRequests() {
	_ = g.callers.http.Close()
	for until := time.Now().Add(logTime); g.forwarder.InFlight() > 0 && time.Now().Before(until); {
		time.Sleep(logTick)
	}
}

// finishRequests waits until no request is in flight, and reports whether that is so by a time.
func (g *Gateway) finishRequests(end time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	return g.callers.connections.Shutdown(ctx) == nil
}
