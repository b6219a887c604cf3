package upstream

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of a Pool.
type metrics struct {
	dials   *prometheus.CounterVec
	foreign prometheus.Counter
	unnamed prometheus.Counter
	tooLong prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_upstream_connections_total",
			Help: "Connections opened to endpoints, by outcome.",
		}, []string{"outcome"}),
		foreign: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_upstream_foreign_answers_total",
			Help: "Answers that belonged to another request than the one sent.",
		}),
		unnamed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_upstream_unnamed_answers_total",
			Help: "Answers on reused connections given up because they do not name their request.",
		}),
		tooLong: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_upstream_endless_answers_total",
			Help: "Answers given up because an endpoint sent more bytes than they may have.",
		}),
	}
	if r != nil {
		r.MustRegister(m.dials, m.foreign, m.unnamed, m.tooLong)
	}
	return m
}
