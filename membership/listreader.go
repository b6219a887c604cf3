package membership

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/platform"
)

// ListReader reads the host list for a Watcher. It is a suture service of its
// own, so that a slow list does not hold up the view.
type ListReader struct {
	watcher *Watcher
}

// NewListReader returns the ListReader of w.
func NewListReader(w *Watcher) *ListReader {
	return &ListReader{watcher: w}
}

// Serve implements suture.Service.
func (l *ListReader) Serve(ctx context.Context) error {
	for {
		pause := l.watcher.opts.ListInterval
		if !l.read(ctx) {
			// This host is not on the list yet, and others may just start too.
			pause = min(pause, startInterval)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// startInterval is the time between two reads until the list holds this host.
const startInterval = 100 * time.Millisecond

// read reads the list and reports whether it holds this host.
func (l *ListReader) read(ctx context.Context) bool {
	hosts, err := l.watcher.opts.List.Hosts(ctx)
	if err != nil {
		// The last list stays in use: the service may be down for long.
		_ = level.Warn(l.watcher.logger).Log("msg", "host list not read", "err", err)
		return false
	}
	_ = l.watcher.lists.Put(ctx, hosts)
	return slices.ContainsFunc(hosts, func(h platform.Host) bool { return h.Name == l.watcher.opts.Table.Self })
}

// String names the service to its supervisor.
func (l *ListReader) String() string {
	return "host list"
}
