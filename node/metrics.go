package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metrics are those of the daemon as a whole.
type metrics struct {
	unstampedCalls prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		unstampedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_peer_calls_unstamped_total",
			Help: "Calls of other hosts that carried no time line stamp.",
		}),
	}
	r.MustRegister(m.unstampedCalls)
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}
