package slots

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/scheduler"
)

const (
	// maxHealthLines bounds the log lines about the health of endpoints in a second.
	maxHealthLines = 50
	// maxHealthServices bounds the services in metrics.
	maxHealthServices = 64
)

// healthMetrics are the metrics of the health of endpoints.
type healthMetrics struct {
	endpoints *prometheus.GaugeVec
	steps     *prometheus.CounterVec
	services  map[string]bool
}

func newHealthMetrics(r prometheus.Registerer) *healthMetrics {
	m := &healthMetrics{
		endpoints: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "peridotmount_scheduler_endpoints_under_test",
			Help: "Endpoints that fail, by service: excluded ones get probes, suspected ones few requests that can be repeated. 0 at hosts that schedule for nobody.",
		}, []string{"service", "health"}),
		steps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_scheduler_endpoint_health_total",
			Help: "Changes of what this host believes of endpoints as scheduler, by step: exclusions, suspicions, probes and their outcomes, failures counted against requests or paths.",
		}, []string{"step"}),
		services: make(map[string]bool),
	}
	if r != nil {
		r.MustRegister(m.endpoints, m.steps)
	}
	return m
}

// setCounts sets the gauges.
func (m *healthMetrics) setCounts(counts []scheduler.HealthCount) {
	for _, c := range counts {
		if !m.services[c.Service] {
			if len(m.services) >= maxHealthServices {
				continue
			}
			m.services[c.Service] = true
		}
		m.endpoints.WithLabelValues(c.Service, "excluded").Set(float64(c.Excluded))
		m.endpoints.WithLabelValues(c.Service, "suspected").Set(float64(c.Suspected))
	}
}

// healthLog bounds the log lines about the health of endpoints.
type healthLog struct {
	second  time.Time
	lines   int
	dropped int
}

// admits reports whether another line may be logged, and returns how many were dropped before if this
// is the first one of a second.
func (h *healthLog) admits(now time.Time) (bool, int) {
	dropped := 0
	if now.Sub(h.second) >= time.Second {
		dropped = h.dropped
		h.second, h.lines, h.dropped = now, 0, 0
	}
	if h.lines >= maxHealthLines {
		h.dropped++
		return false, dropped
	}
	h.lines++
	return true, dropped
}

// reportHealth logs and counts what the core tells of the health of endpoints.
func (l *LocalScheduler) reportHealth(now time.Time) {
	notices, dropped := l.core.HealthNotices()
	l.healthLog.dropped += dropped
	for i := range notices {
		n := &notices[i]
		l.metrics.health.steps.WithLabelValues(string(n.Step)).Inc()
		admitted, before := l.healthLog.admits(now)
		if before > 0 {
			_ = level.Warn(l.logger).Log("event", "endpoint_health_dropped", "lines", before)
		}
		if !admitted {
			continue
		}
		logger := level.Info(l.logger)
		if n.Step == scheduler.StepExcluded {
			logger = level.Warn(l.logger)
		}
		_ = logger.Log("event", "endpoint_health", "step", string(n.Step), "endpoint", n.Endpoint, "service", n.Service,
			"peer", n.Host, "ticket", n.Ticket, "request", n.Request, "outcome", string(n.Outcome), "evidence", n.Evidence,
			"in_a_row", n.Row, "failed", n.Failed, "of", n.Ran, "base_rate", n.BaseRate, "crashes", n.Crashes,
			"last_failure_ms", n.FailedAge.Milliseconds(), "before_ms", n.LevelAge.Milliseconds(),
			"excluded", n.Excluded, "under_test", n.UnderTest)
	}
}
