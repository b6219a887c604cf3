package gateway

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/singleflight"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/recent"
)

const (
	// probeTimeout bounds the attempt to connect to an endpoint that may have crashed.
	probeTimeout = 500 * time.Millisecond
	// maxCrashedKept is how many crashed runs of endpoints are remembered: a crash breaks
	// off several requests, and one attempt to connect is enough for all.
	maxCrashedKept = 64
)

// crashDetector tells crashes of endpoints from other reasons for which requests break
// off: where a process has ended, its port refuses connections.
type crashDetector struct {
	logger log.Logger
	// dial connects to an endpoint and closes the connection. The error is
	// syscall.ECONNREFUSED only if other endpoints are reached.
	dial func(ctx context.Context, e *endpoint.Endpoint) error
	// report is called with each request that a crash broke off.
	report func(blame.Crash)
	// view returns the endpoints known.
	view    func() *endpoint.View
	crashes prometheus.Counter

	probes singleflight.Group
	mu     sync.Mutex
	// crashed holds the runs of endpoints that are known to have crashed.
	crashed *recent.Set
}

func newCrashDetector(logger log.Logger, r prometheus.Registerer, view func() *endpoint.View, dial func(context.Context, *endpoint.Endpoint) error, report func(blame.Crash)) *crashDetector {
	d := &crashDetector{
		logger: logger, dial: dial, report: report, view: view,
		crashed: recent.NewSet(maxCrashedKept),
	}
	d.crashes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "peridotmount_endpoint_crashes_total",
		Help: "Crashes of endpoints that this host saw, by requests that broke off and connections that were refused.",
	})
	r.MustRegister(d.crashes)
	return d
}

// brokenOff handles an attempt at an endpoint that broke off. keys are those of the
// request, or none if it can't have crashed the endpoint. It does not block.
func (d *crashDetector) brokenOff(e *endpoint.Endpoint, request string, keys []blame.Key) {
	view := d.view()
	if now := view.Endpoint(e.ID); now != nil && now.State == endpoint.Draining {
		return // It has ended as planned.
	}
	ready := len(view.Ready(e.Service))
	go func() {
		run := e.ID + "@" + e.Started.UTC().Format(time.RFC3339Nano)
		if !d.hasCrashed(run, e) {
			return
		}
		d.report(blame.Crash{
			Endpoint: run, Service: e.Service, Endpoints: ready, Attempt: request + "@" + e.ID, Keys: keys,
		})
	}()
}

// hasCrashed reports whether a run of an endpoint has ended.
func (d *crashDetector) hasCrashed(run string, e *endpoint.Endpoint) bool {
	d.mu.Lock()
	known := d.crashed.Has(run)
	d.mu.Unlock()
	if known {
		return true
	}
	crashed, _, _ := d.probes.Do(run, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		err := d.dial(ctx, e)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return false, nil
		}
		d.mu.Lock()
		d.crashed.Add(run)
		d.mu.Unlock()
		d.crashes.Inc()
		_ = level.Warn(d.logger).Log("event", "endpoint_crashed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "err", err)
		return true, nil
	})
	return crashed.(bool)
}
