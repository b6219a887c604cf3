package heads

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/traffic"
)

// Metrics holds the metrics of all listeners.
type Metrics struct {
	refused *prometheus.CounterVec
}

// NewMetrics returns Metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{refused: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "peridotmount_listener_refused_heads_total",
		Help: "Requests refused because of their heads, by reason: bytes, fields, memory, framing.",
	}, []string{"party", "reason"})}
	r.MustRegister(m.refused)
	return m
}

func (m *Metrics) countRefused(party traffic.Party, r reason) {
	if m != nil {
		m.refused.WithLabelValues(string(party), string(r)).Inc()
	}
}
