package detour

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/reach"
)

// Links watches this host's links to the endpoints. It is a suture service; its methods are
// safe for concurrent use.
type Links struct {
	opts    *Options
	metrics *metrics
	wake    chan struct{}

	mu      sync.Mutex
	tracker *reach.Tracker
	// dialed is closed, and replaced, with each outcome of an attempt to connect.
	dialed chan struct{}

	// applyMu guards applied, which is what OnStranded was told last.
	applyMu sync.Mutex
	applied bool
}

func newLinks(o *Options, m *metrics) *Links {
	return &Links{opts: o, metrics: m, wake: make(chan struct{}, 1), tracker: reach.NewTracker(), dialed: make(chan struct{})}
}

// SetEndpoints replaces the endpoints that accept work.
func (l *Links) SetEndpoints(endpoints []*endpoint.Endpoint) {
	known := make([]reach.Endpoint, len(endpoints))
	for i, e := range endpoints {
		known[i] = reach.Endpoint{ID: e.ID, Service: e.Service}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.SetEndpoints(known)
}

// Dialed records the outcome of an attempt to connect to an endpoint that began at a time. It
// is the pool's Options.OnConnection.
func (l *Links) Dialed(id string, began time.Time, err error) {
	now := time.Now()
	l.mu.Lock()
	failed := append(l.tracker.FailedEndpoints(), id)
	before := l.tracker.State()
	changed := l.tracker.Dialed(began, now, id, err == nil)
	after := l.tracker.State()
	close(l.dialed)
	l.dialed = make(chan struct{})
	l.mu.Unlock()
	if err != nil {
		l.wakeUp()
	}
	if changed {
		if err == nil {
			failed = nil
		}
		l.announce(before, after, failed, err)
	}
}

// announce has a change of the state applied, then logs and counts it.
func (l *Links) announce(before, after reach.State, endpoints []string, err error) {
	if after == reach.Stranded {
		// Connections that were open before may be dead without showing it.
		l.opts.Pool.CloseAllIdle()
	}
	l.apply()
	l.metrics.changes.WithLabelValues(after.String()).Inc()
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	_ = level.Warn(l.opts.Logger).Log("event", "links_changed", "before", before.String(), "state", after.String(),
		"endpoints", endpoints, "reason", reason)
}

// apply tells OnStranded the state, unless it was told already. Changes may overtake each other
// on the way here, so the state is read again.
func (l *Links) apply() {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	stranded := !l.Connected()
	if stranded == l.applied {
		return
	}
	l.applied = stranded
	value := 0.0
	if stranded {
		value = 1
	}
	l.metrics.stranded.Set(value)
	l.opts.OnStranded(stranded)
}

// Suspect records that an endpoint sends nothing, or that it broke a connection.
func (l *Links) Suspect() {
	l.mu.Lock()
	l.tracker.Suspect()
	l.mu.Unlock()
	l.wakeUp()
}

func (l *Links) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Stranded reports whether this host reaches no endpoint.
func (l *Links) Stranded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.State() == reach.Stranded
}

// Connected reports whether this host sends all calls over its own links.
func (l *Links) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.State() == reach.Connected
}

// direct decides whether the next call goes over this host's own links.
func (l *Links) direct() bool {
	l.mu.Lock()
	before := l.tracker.State()
	direct := l.tracker.Direct(time.Now())
	after := l.tracker.State()
	l.mu.Unlock()
	if before != after {
		l.announce(before, after, nil, nil)
	}
	return direct
}

// failedLately reports whether no connection to an endpoint was made lately.
func (l *Links) failedLately(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.FailedLately(time.Now(), id)
}

// ReachesOther waits until it is known whether this host reaches other endpoints than one that
// failed at a time, and reports whether it does. An endpoint that refuses a connection has
// ended only if it does.
func (l *Links) ReachesOther(ctx context.Context, failedAt time.Time) bool {
	for {
		l.mu.Lock()
		state, reached, dialed := l.tracker.State(), l.tracker.ReachedAt().After(failedAt), l.dialed
		if !reached {
			l.tracker.Verify()
		}
		l.mu.Unlock()
		if reached || state != reach.Connected {
			return reached
		}
		l.wakeUp()
		select {
		case <-ctx.Done():
			return false
		case <-dialed:
		}
	}
}

// String returns the name of the service in the supervisor's log.
func (l *Links) String() string {
	return "links to endpoints"
}

// Serve implements suture.Service: it probes endpoints while the state of the links is in
// doubt.
func (l *Links) Serve(ctx context.Context) error {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		busy := l.probe(ctx)
		if busy {
			timer.Reset(tick)
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// probe starts the probes that are due, and reports whether more may be due without another
// call of Suspect or Dialed.
func (l *Links) probe(ctx context.Context) bool {
	l.mu.Lock()
	before := l.tracker.State()
	due := l.tracker.Probes(time.Now())
	after, busy := l.tracker.State(), l.tracker.Busy()
	l.mu.Unlock()
	if before != after {
		l.announce(before, after, nil, nil)
	}
	for _, id := range due {
		go l.probeEndpoint(ctx, id)
	}
	return busy
}

// probeEndpoint connects to an endpoint; the pool tells Dialed.
func (l *Links) probeEndpoint(ctx context.Context, id string) {
	result := "unlisted"
	if e := l.opts.Endpoint(id); e != nil {
		result = "connected"
		if err := l.opts.Pool.Probe(ctx, id, e.Address); err != nil {
			result = "failed"
		}
	}
	l.metrics.probes.WithLabelValues(result).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.EndProbe(id)
}
