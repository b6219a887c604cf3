package slots

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/scheduler"
)

// metrics are the metrics of a host's scheduler and of its session with one.
type metrics struct {
	decisions *prometheus.CounterVec
	waits     prometheus.Histogram
	sessions  *prometheus.CounterVec
	// convictions counts the convictions that this host made as scheduler.
	convictions prometheus.Counter
	// promptTokens and prefillRate are only set if this host weighs waits as scheduler.
	promptTokens *prometheus.CounterVec
	prefillRate  *prometheus.GaugeVec
	health       *healthMetrics
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_scheduler_decisions_total",
			Help: "Decisions of this host as scheduler: grants, permits, refusals by reason (those for a quota count slots and permits), revocations, starts of batch items.",
		}, []string{"decision"}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "peridotmount_scheduler_wait_seconds",
			Help:    "Time that online requests waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}),
		sessions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_scheduler_sessions_total",
			Help: "Sessions of this host with a scheduler, by how they began or ended.",
		}, []string{"step"}),
		convictions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_convictions_total",
			Help: "Convictions of requests that crash endpoints that this host made as scheduler.",
		}),
	}
	m.promptTokens = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "peridotmount_scheduler_prompt_tokens_total",
		Help: "Tokens of shared parts of prompts that this host as scheduler expected endpoints to have cached (held) or to read (read), by service.",
	}, []string{"service", "state"})
	m.prefillRate = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "peridotmount_scheduler_prefill_tokens_per_millisecond",
		Help: "Prompt tokens that an endpoint reads per millisecond, as this host learned as scheduler, by service.",
	}, []string{"service"})
	m.health = newHealthMetrics(r)
	if r != nil {
		r.MustRegister(m.decisions, m.waits, m.sessions, m.convictions, m.promptTokens, m.prefillRate)
	}
	return m
}

func (m *metrics) observe(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.Grant:
		m.decisions.WithLabelValues("grant").Inc()
		m.waits.Observe(e.Waited.Seconds())
		m.observeChoice(e.Service, e.Choice)
	case scheduler.Refuse:
		m.decisions.WithLabelValues(string(e.Reason)).Inc()
	case scheduler.Revoke:
		m.decisions.WithLabelValues("revoke").Inc()
	case scheduler.Permit:
		decision := "permit"
		if e.Refusal != nil {
			decision = string(scheduler.ReasonQuota)
		}
		m.decisions.WithLabelValues(decision).Inc()
	case scheduler.Start:
		m.decisions.WithLabelValues("start").Inc()
	}
}

// observeChoice counts what was expected of the endpoint of a grant; nil counts nothing.
func (m *metrics) observeChoice(service string, c *scheduler.Choice) {
	if c == nil {
		return
	}
	m.promptTokens.WithLabelValues(service, "held").Add(float64(c.SharedHeld))
	m.promptTokens.WithLabelValues(service, "read").Add(float64(c.SharedRead))
	m.prefillRate.WithLabelValues(service).Set(c.Rate)
}
