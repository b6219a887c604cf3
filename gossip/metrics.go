package gossip

import "github.com/prometheus/client_golang/prometheus"

// distance tells how far a peer is.
type distance string

const (
	sameZone    distance = "zone"
	sameRegion  distance = "region"
	crossRegion distance = "cross_region"
)

func distanceOf(a, b Peer) distance {
	switch {
	case a.Region != b.Region:
		return crossRegion
	case a.Zone != b.Zone:
		return sameRegion
	default:
		return sameZone
	}
}

type metrics struct {
	sent     *prometheus.CounterVec
	received *prometheus.CounterVec
	news     prometheus.Counter
	failures *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_gossip_sent_bytes_total",
			Help: "Bytes of gossip messages sent, by distance of the peer.",
		}, []string{"distance"}),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_gossip_received_bytes_total",
			Help: "Bytes of gossip messages received, by distance of the peer.",
		}, []string{"distance"}),
		news: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_gossip_news_total",
			Help: "Entries received that were news.",
		}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_gossip_failed_exchanges_total",
			Help: "Exchanges without an answer, by distance of the peer.",
		}, []string{"distance"}),
	}
	if r != nil {
		r.MustRegister(m.sent, m.received, m.news, m.failures)
	}
	return m
}
