package scheduler

import "time"

// listEndpoint updates an endpoint by its record.
func (c *Core) listEndpoint(now time.Time, s *endpointState, e *Endpoint) {
	if c.opts.EndpointFeedback && !s.Started.IsZero() && !s.Started.Equal(e.Started) {
		v := c.service(s.Service)
		failing := s.health.level != healthSound
		s.health.restart(now)
		s.speed = endpointSpeed{}
		c.note(now, v, s, StepRestarted, nil, nil)
		level := healthSound
		if failing || s.health.cautious(now) {
			level = healthReturning
		}
		c.setLevel(now, v, s, level, nil, nil)
	}
	s.Endpoint, s.listed = *e, true
}

// FailingEndpoint is an endpoint whose last uses by a host failed.
type FailingEndpoint struct {
	Endpoint string `json:"endpoint"`
	// Failures counts those in a row, Age is the time since the last one.
	Failures int           `json:"failures"`
	Age      time.Duration `json:"age"`
}

// observeFailing takes up the failures that a joining host has seen, under earlier schedulers.
func (c *Core) observeFailing(now time.Time, m *member, failing []FailingEndpoint) {
	if !c.opts.EndpointFeedback {
		return
	}
	for _, f := range failing {
		s := c.endpoints[f.Endpoint]
		if s == nil || f.Age > failureWindow || f.Age < 0 {
			continue
		}
		v := c.service(s.Service)
		for range min(f.Failures, maxHeardFailures) {
			s.health.seenBy(now, m.name)
			s.health.fail(now, now.Add(-f.Age), 0, v.baseRate(now, s))
		}
		// The failures are past: the test is due at once.
		s.health.notBefore = time.Time{}
		c.assess(now, v, s, nil, nil)
	}
}

// welcome takes up the crashes of the endpoint that a new one replaces.
func (c *Core) welcome(now time.Time, s *endpointState) {
	if !c.opts.EndpointFeedback {
		return
	}
	s.health.crashes = c.recallCrashes(now, s)
	if s.health.recentCrashes(now) > 0 {
		s.health.startedAt = now
		c.setLevel(now, c.service(s.Service), s, healthReturning, nil, nil)
	}
}
