package bounded

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/traffic"
)

// Vectors holds the metrics of all listeners, labelled by party.
type Vectors struct {
	open    *prometheus.GaugeVec
	refused *prometheus.CounterVec
}

// Metrics holds the metrics of one listener.
type Metrics struct {
	// Open is the number of open connections, those over the limit included; Refused
	// counts the connections that arrived while the listener was full.
	Open    prometheus.Gauge
	Refused prometheus.Counter
}

// NewVectors returns Vectors registered with r.
func NewVectors(r prometheus.Registerer) *Vectors {
	labels := []string{"party"}
	v := &Vectors{
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "peridotmount_listener_connections",
			Help: "Connections open at a listener.",
		}, labels),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_listener_refused_connections_total",
			Help: "Connections refused because a listener served as many as it may.",
		}, labels),
	}
	r.MustRegister(v.open, v.refused)
	return v
}

// ForParty returns the metrics of the listener that serves party p.
func (v *Vectors) ForParty(p traffic.Party) *Metrics {
	return &Metrics{
		Open:    v.open.WithLabelValues(string(p)),
		Refused: v.refused.WithLabelValues(string(p)),
	}
}
