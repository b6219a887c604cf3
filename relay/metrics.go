package relay

import "github.com/prometheus/client_golang/prometheus"

// metrics counts relayed calls, sent to and served for other hosts.
type metrics struct {
	sent   *prometheus.CounterVec
	served *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_relay_sent_total",
			Help: "Calls to the store that went through another host, by outcome.",
		}, []string{"outcome"}),
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_relay_served_total",
			Help: "Calls to the store made for other hosts, by outcome.",
		}, []string{"outcome"}),
	}
	if r != nil {
		r.MustRegister(m.sent, m.served)
	}
	return m
}
