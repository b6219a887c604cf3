package detour

import "github.com/prometheus/client_golang/prometheus"

// metrics counts the calls sent through other hosts and made for them, and the states of the
// links.
type metrics struct {
	sent, served *prometheus.CounterVec
	stranded     prometheus.Gauge
	changes      *prometheus.CounterVec
	probes       *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_detour_sent_total",
			Help: "Calls to endpoints that other hosts were asked to make for this one, by outcome.",
		}, []string{"outcome"}),
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_detour_served_total",
			Help: "Calls to endpoints made for other hosts, by outcome.",
		}, []string{"outcome"}),
		stranded: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "peridotmount_host_stranded",
			Help: "1 while this host reaches no endpoint, or sends only a share of its calls over its own links again.",
		}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_host_links_changes_total",
			Help: "Changes of what this host believes of its links to endpoints, by the new state.",
		}, []string{"state"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_host_links_probes_total",
			Help: "Connections opened to endpoints only to know whether they can be reached, by outcome.",
		}, []string{"outcome"}),
	}
	if r != nil {
		r.MustRegister(m.sent, m.served, m.stranded, m.changes, m.probes)
	}
	return m
}

// serve registers the number of calls in progress for other hosts.
func (m *metrics) serve(r prometheus.Registerer, inProgress func() int) {
	if r == nil {
		return
	}
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "peridotmount_detour_serving",
		Help: "Calls to endpoints in progress for other hosts.",
	}, func() float64 { return float64(inProgress()) }))
}
