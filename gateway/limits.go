package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/throttle"
)

// limitExpiryTick is the time between two looks for limits that nobody needs any more.
const limitExpiryTick = 5 * time.Second

// limits drives the table of the endpoints' rate limits. It is a suture service; its methods
// are safe for concurrent use.
type limits struct {
	logger log.Logger
	// changed is called, without the lock, after a limit has changed.
	changed func()
	// report passes notices on to the scheduler, which tells all hosts.
	report func([]throttle.Notice)
	// known reports whether an endpoint is known.
	known func(id string) bool
	// changes counts changes of limits, by who told.
	changes *prometheus.CounterVec

	mu    sync.Mutex
	table *throttle.Table
}

func newLimits(logger log.Logger, r prometheus.Registerer) *limits {
	l := &limits{logger: logger, table: throttle.NewTable()}
	l.changes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "peridotmount_endpoint_limit_changes_total",
		Help: "Changes of the rate limits that endpoints name in their answers, as learned from an answer to this host (answer) or from another host (told).",
	}, []string{"heard"})
	r.MustRegister(l.changes)
	return l
}

// Begin records which run of an endpoint its record is of.
func (l *limits) Begin(i endpoint.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Begin(i)
}

// Answered records what an answer to this host said, to a request sent at the given time: a
// limit in requests per second, or zero.
func (l *limits) Answered(i endpoint.Incarnation, perSecond float64, sent time.Time) {
	now := clock.Now()
	l.mu.Lock()
	changed := false
	notice := throttle.Notice{Endpoint: i}
	if perSecond > 0 {
		changed = l.table.Name(now, i, perSecond)
		notice.Rate = max(perSecond, throttle.MinRate)
	} else {
		changed = l.table.End(sent, i)
		notice.Age = now.Sub(sent)
	}
	l.mu.Unlock()
	if changed {
		l.announce(i, notice.Rate, "answer")
		l.report([]throttle.Notice{notice})
	}
}

// Merge implements slots.Limits.
func (l *limits) Merge(notices []throttle.Notice) []throttle.Notice {
	now := clock.Now()
	var out []throttle.Notice
	for _, n := range notices {
		l.mu.Lock()
		changed := l.table.Merge(now, n)
		l.mu.Unlock()
		if changed {
			l.announce(n.Endpoint, n.Rate, "told")
			out = append(out, n)
		}
	}
	return out
}

// announce logs and counts a change, and has it applied.
func (l *limits) announce(i endpoint.Incarnation, perSecond float64, heard string) {
	l.changes.WithLabelValues(heard).Inc()
	_ = level.Info(l.logger).Log("event", "endpoint_limit", "endpoint", i.ID, "per_second", perSecond, "heard", heard)
	l.changed()
}

// Notices implements slots.Limits.
func (l *limits) Notices() []throttle.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Notices(clock.Now())
}

// Rate returns the limit of an endpoint in requests per second; zero if it has none.
func (l *limits) Rate(e *endpoint.Endpoint) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Rate(e.Incarnation())
}

// inForce reports whether a notice is of the present run of a known endpoint.
func (l *limits) inForce(n *throttle.Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known(n.Endpoint.ID) && l.table.Rate(n.Endpoint) > 0
}

// String names the service to its supervisor.
func (l *limits) String() string {
	return "rate limits of endpoints"
}

// Serve implements suture.Service.
func (l *limits) Serve(ctx context.Context) error {
	return clock.Every(ctx, limitExpiryTick, func(time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.table.Expire(clock.Now(), l.known)
	})
}
