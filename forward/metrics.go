package forward

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of a Forwarder.
type metrics struct {
	requests   *prometheus.CounterVec
	seconds    *prometheus.HistogramVec
	rejections *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	resumed    prometheus.Counter
	hedges     prometheus.Counter
	incomplete *prometheus.CounterVec
	// unauthorized counts responses with status 401.
	unauthorized *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_route_requests_total",
			Help: "Requests on routes by kind and status; status 0 had no whole answer.",
		}, []string{"kind", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "peridotmount_route_request_seconds",
			Help:    "Time from a request's head to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"kind"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_route_rejections_total",
			Help: "Requests that were turned away before they ran, by reason.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_route_tries_total",
			Help: "Tries at endpoints by outcome.",
		}, []string{"outcome"}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_route_streams_resumed_total",
			Help: "Streams that went on at another endpoint.",
		}),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_route_hedges_total",
			Help: "Second tries beside a slow first one.",
		}),
		incomplete: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_route_incomplete_requests_total",
			Help: "Requests that ended without a whole answer, by kind, how far they were (body, waiting, response), and what ended them.",
		}, []string{"kind", "phase", "cause"}),
		unauthorized: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_route_unauthorized_total",
			Help: "Requests answered 401, by what is wrong with their key.",
		}, []string{"fault"}),
	}
	if r != nil {
		r.MustRegister(m.requests, m.seconds, m.rejections, m.attempts, m.resumed, m.hedges, m.incomplete, m.unauthorized)
	}
	return m
}

// observe counts a request and the time from its arrival to its end. A status of 0 means
// that the client got no complete response.
func (m *metrics) observe(kind string, status int, total time.Duration) {
	m.requests.WithLabelValues(kind, strconv.Itoa(status)).Inc()
	m.seconds.WithLabelValues(kind).Observe(total.Seconds())
}
