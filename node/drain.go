package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// drainer reports whether the host is shutting down.
type drainer struct {
	draining atomic.Bool
}

// drain shuts the host down without cutting off a request: it is no longer
// ready and tells the other hosts that it leaves, waits until the balancer has
// had time to see it, and then finishes the requests in progress while all
// duties still run.
func (n *Node) drain() {
	s := n.settings.Host
	n.drainer.draining.Store(true)
	n.watcher.Drain()
	n.registrar.Leave()
	_ = level.Info(n.logger).Log("msg", "draining", "timeout", s.DrainTimeout)
	time.Sleep(s.DrainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
	defer cancel()
	if err := n.callers.finish(ctx); errors.Is(err, context.DeadlineExceeded) {
		_ = level.Error(n.logger).Log("msg", "drain timeout: requests in progress are cut off", "timeout", s.DrainTimeout)
	}
}
