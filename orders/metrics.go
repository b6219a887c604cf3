package orders

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/engine"
)

type metrics struct {
	leaseHeld prometheus.Gauge
	orders    *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		leaseHeld: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "peridotmount_orders_lease_held",
			Help: "1 if this host gives the orders to the engines.",
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_orders_total",
			Help: "Orders to engines, by kind and result.",
		}, []string{"kind", "result"}),
	}
	if r != nil {
		r.MustRegister(m.leaseHeld, m.orders)
	}
	return m
}

func (m *metrics) setLeaseHeld(held bool) {
	if held {
		m.leaseHeld.Set(1)
		return
	}
	m.leaseHeld.Set(0)
}

func (m *metrics) orderSucceeded(kind engine.OrderKind) {
	m.orders.WithLabelValues(string(kind), "given").Inc()
}

func (m *metrics) orderFailed(kind engine.OrderKind) {
	m.orders.WithLabelValues(string(kind), "failed").Inc()
}
