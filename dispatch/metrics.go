package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/objects"
)

type metrics struct {
	hedges      *prometheus.CounterVec
	retries     *prometheus.CounterVec
	revocations prometheus.Counter
	moves       prometheus.Counter
	followed    prometheus.Counter
	wait        *prometheus.HistogramVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_dispatch_hedges_total",
			Help: "Second streams started for slow online calls.",
		}, []string{"winner"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_dispatch_retries_total",
			Help: "Calls sent to another endpoint after a failure.",
		}, []string{"cause"}),
		revocations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_dispatch_revocations_total",
			Help: "Streams of this host taken off an endpoint by its home.",
		}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_dispatch_moves_total",
			Help: "Online streams resumed at another endpoint because a token was late.",
		}),
		followed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_dispatch_followed_total",
			Help: "Calls started before their ticket.",
		}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "peridotmount_dispatch_wait_seconds",
			Help:    "Time from the call to its ticket.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"class"}),
	}
	for _, class := range []objects.Class{objects.ClassUrgent, objects.ClassOnline, objects.ClassBatch} {
		m.wait.WithLabelValues(string(class))
	}
	for _, winner := range []string{winnerPrimary, winnerHedge} {
		m.hedges.WithLabelValues(winner)
	}
	for _, cause := range []string{causeRefused, causeLeaving, causeUnreachable, causeBroken} {
		m.retries.WithLabelValues(cause)
	}
	if r != nil {
		r.MustRegister(m.hedges, m.retries, m.revocations, m.moves, m.followed, m.wait)
	}
	return m
}
