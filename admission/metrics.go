package admission

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/objects"
)

type metrics struct {
	queueLength *prometheus.GaugeVec
	wait        *prometheus.HistogramVec
	grants      *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	revocations prometheus.Counter
	homes       prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		queueLength: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "peridotmount_admission_queue_requests",
			Help: "Requests that wait for a ticket of this host's homes.",
		}, []string{"class"}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "peridotmount_admission_wait_seconds",
			Help:    "Time from the request for a ticket to its grant.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"class"}),
		grants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_admission_grants_total",
			Help: "Tickets granted.",
		}, []string{"class"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_admission_refusals_total",
			Help: "Tickets refused.",
		}, []string{"reason"}),
		revocations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_admission_revocations_total",
			Help: "Batch streams taken off an endpoint.",
		}),
		homes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "peridotmount_admission_homes",
			Help: "Endpoints that this host is home of and that hold tickets or requests.",
		}),
	}
	for _, class := range []objects.Class{objects.ClassUrgent, objects.ClassOnline, objects.ClassBatch} {
		m.wait.WithLabelValues(string(class))
		m.grants.WithLabelValues(string(class))
	}
	for _, reason := range []Reason{ReasonFull, ReasonExpired, ReasonBusy, ReasonOverloaded, ReasonAbandoned} {
		m.refusals.WithLabelValues(string(reason))
	}
	if r != nil {
		r.MustRegister(m.queueLength, m.wait, m.grants, m.refusals, m.revocations, m.homes)
	}
	return m
}
