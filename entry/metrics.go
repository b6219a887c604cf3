package entry

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the figures of the callers' side.
type metrics struct {
	requests   *prometheus.CounterVec
	inFlight   prometheus.Gauge
	shutdown   *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	interToken *prometheus.HistogramVec
}

// Buckets in seconds, around the targets of 0.91 s and 57 ms.
var (
	firstTokenBuckets = []float64{.01, .025, .05, .1, .2, .4, .6, .8, .91, 1.2, 2, 5, 15, 60}
	interTokenBuckets = []float64{.002, .005, .01, .02, .03, .045, .057, .08, .12, .25, .5, 1, 5}
)

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_entry_requests_total",
			Help: "Requests answered, by service, class and HTTP status.",
		}, []string{"service", "class", "code"}),
		inFlight: f.NewGauge(prometheus.GaugeOpts{
			Name: "peridotmount_entry_requests_in_flight",
			Help: "Requests in progress.",
		}),
		shutdown: f.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_entry_shutdown_requests_total",
			Help: "Requests that ended because the host shut down, by outcome: refused, interrupted, broken_off.",
		}, []string{"outcome"}),
		firstToken: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "peridotmount_entry_first_token_seconds",
			Help:    "Time from the request to its first token.",
			Buckets: firstTokenBuckets,
		}, []string{"service", "class"}),
		interToken: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "peridotmount_entry_inter_token_seconds",
			Help:    "Time between two tokens of an answer.",
			Buckets: interTokenBuckets,
		}, []string{"service", "class"}),
	}
}

func (m *metrics) answered(c *caller, status int) {
	service, class := "", ""
	if c != nil {
		service, class = c.service, string(c.class)
	}
	m.requests.WithLabelValues(service, class, strconv.Itoa(status)).Inc()
}
