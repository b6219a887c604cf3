package entry

import "time"

// tokenTimer measures the tokens of one answer.
type tokenTimer struct {
	metrics *metrics
	service string
	class   string
	last    time.Time
	started bool
}

func (m *metrics) timer(c *caller, now time.Time) *tokenTimer {
	return &tokenTimer{metrics: m, service: c.service, class: string(c.class), last: now}
}

// token notes a token that came at now.
func (t *tokenTimer) token(now time.Time) {
	histogram := t.metrics.interToken
	if !t.started {
		t.started = true
		histogram = t.metrics.firstToken
	}
	histogram.WithLabelValues(t.service, t.class).Observe(now.Sub(t.last).Seconds())
	t.last = now
}
