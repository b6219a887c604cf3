package graceful

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/traffic"
)

// Metrics holds the metrics of all listeners, labelled by party.
type Metrics struct {
	unanswered *prometheus.CounterVec
}

// NewMetrics returns Metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "peridotmount_listener_unanswered_requests_total",
		Help: "Requests whose connection this host closed without an answer, by how far they were: receiving, serving.",
	}, []string{"party", "phase"})}
	r.MustRegister(m.unanswered)
	return m
}

func (m *Metrics) countUnanswered(party traffic.Party, p phase) {
	m.unanswered.WithLabelValues(string(party), string(p)).Inc()
}
