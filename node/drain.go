package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// answerTime is the time at the end of a shutdown in which requests that did not end by
	// themselves get their answers. A short shutdown spends one part in answerShare of it.
	answerTime  = 2 * time.Second
	answerShare = 4
)

// drainer reports whether the host is shutting down.
type drainer struct {
	draining atomic.Bool
}

// drain shuts the host down without cutting off a request: it is no longer
// ready and tells the other hosts that it leaves, waits until the balancer has
// had time to see it, and then refuses new work and finishes the requests in
// progress while all duties still run. What doesn't end in time is answered that
// it did not run, or may have run.
func (n *Node) drain() {
	s := n.settings.Host
	n.drainer.draining.Store(true)
	n.watcher.Drain()
	n.registrar.Leave()
	_ = level.Info(n.logger).Log("msg", "draining", "timeout", s.DrainTimeout)
	time.Sleep(s.DrainNotice)
	n.entry.RefuseWork()
	answers := min(answerTime, s.DrainTimeout/answerShare)
	if n.finishCallers(s.DrainTimeout - answers) {
		return
	}
	_ = level.Error(n.logger).Log("event", "drain_incomplete", "requests", n.entry.InFlight(), "timeout", s.DrainTimeout)
	n.entry.EndRequests(answers / 2)
	if !n.finishCallers(answers) {
		_ = level.Error(n.logger).Log("event", "requests_cut", "requests", n.entry.InFlight())
	}
	n.callers.close()
}

// finishCallers waits until no request of a caller is in flight, and reports whether that is so
// within a time.
func (n *Node) finishCallers(within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return n.callers.finish(ctx) == nil
}
