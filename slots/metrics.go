package slots

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/scheduler"
)

// metrics are the metrics of a host's scheduler and of its session with one.
type metrics struct {
	decisions *prometheus.CounterVec
	waits     prometheus.Histogram
	sessions  *prometheus.CounterVec
	// convictions counts the convictions that this host made as scheduler.
	convictions prometheus.Counter
	health      *healthMetrics
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_scheduler_decisions_total",
			Help: "Decisions of this host as scheduler: grants, refusals by reason, revocations, starts of batch items.",
		}, []string{"decision"}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "peridotmount_scheduler_wait_seconds",
			Help:    "Time that online requests waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}),
		sessions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_scheduler_sessions_total",
			Help: "Sessions of this host with a scheduler, by how they began or ended.",
		}, []string{"step"}),
		convictions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_convictions_total",
			Help: "Convictions of requests that crash endpoints that this host made as scheduler.",
		}),
	}
	m.health = newHealthMetrics(r)
	if r != nil {
		r.MustRegister(m.decisions, m.waits, m.sessions, m.convictions)
	}
	return m
}

func (m *metrics) observe(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.Grant:
		m.decisions.WithLabelValues("grant").Inc()
		m.waits.Observe(e.Waited.Seconds())
	case scheduler.Refuse:
		m.decisions.WithLabelValues(string(e.Reason)).Inc()
	case scheduler.Revoke:
		m.decisions.WithLabelValues("revoke").Inc()
	case scheduler.Start:
		m.decisions.WithLabelValues("start").Inc()
	}
}
