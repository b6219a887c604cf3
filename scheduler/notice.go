package scheduler

import "time"

// HealthStep names what a HealthNotice tells.
type HealthStep string

// Steps of the health of an endpoint.
const (
	StepSuspected HealthStep = "suspected"
	StepReturning HealthStep = "returning"
	StepExcluded  HealthStep = "excluded"
	StepSound     HealthStep = "sound"
	// StepProbed means that a use began at an excluded endpoint. StepProbeFailed and
	// StepProbeSucceeded are how such a use ended.
	StepProbed         HealthStep = "probed"
	StepProbeFailed    HealthStep = "probe_failed"
	StepProbeSucceeded HealthStep = "probe_succeeded"
	// StepSpared means that the endpoint would be excluded, but too many are already.
	StepSpared HealthStep = "spared"
	// StepPath means that failures count against the path of a host to the endpoint.
	StepPath HealthStep = "path_blamed"
	// StepWork means that failures of a request count against the request, which fails
	// wherever it runs.
	StepWork HealthStep = "work_blamed"
	// StepRestarted means that the endpoint has started again.
	StepRestarted HealthStep = "restarted"
)

// maxNotices bounds the notices kept until they are taken.
const maxNotices = 128

// HealthNotice tells a change of what is believed of an endpoint, and what it rests on.
type HealthNotice struct {
	Step              HealthStep
	Service, Endpoint string
	// Host, Ticket and Request are those of the use whose end led to the change; empty if
	// there was none.
	Host, Ticket, Request string
	Outcome               Outcome
	// Evidence is that of failure, Row the failures in a row, Failed of Ran the uses since
	// the first one. BaseRate is the rate of failures expected of a sound endpoint.
	Evidence    float64
	Row         int
	Failed, Ran int
	BaseRate    float64
	// Crashes are those that count.
	Crashes int
	// FailedAge is the time since the last failure, LevelAge how long the endpoint had its
	// former level.
	FailedAge, LevelAge time.Duration
	// Excluded and UnderTest count the endpoints of the service after the change.
	Excluded, UnderTest int
}

// HealthNotices returns the notices since the last call, and how many were dropped.
func (c *Core) HealthNotices() ([]HealthNotice, int) {
	out, dropped := c.notices, c.noticesDropped
	c.notices, c.noticesDropped = nil, 0
	return out, dropped
}

// HealthCount is how many endpoints of a service are excluded, and how many suspected or
// returning.
type HealthCount struct {
	Service             string
	Excluded, Suspected int
}

// HealthCounts returns the counts of all services; zero while no host has joined.
func (c *Core) HealthCounts() []HealthCount {
	out := make([]HealthCount, 0, len(c.services))
	for name, v := range c.services {
		n := HealthCount{Service: name}
		if len(c.members) > 0 {
			n.Excluded, n.Suspected = v.excluded, v.underTest-v.excluded
		}
		out = append(out, n)
	}
	return out
}

// note adds a notice. t and u are nil if no use led to it.
func (c *Core) note(now time.Time, v *service, s *endpointState, step HealthStep, t *ticket, u *Usage) {
	if len(c.notices) >= maxNotices {
		c.noticesDropped++
		return
	}
	h := &s.health
	n := HealthNotice{
		Step: step, Service: v.name, Endpoint: s.ID, Evidence: h.evidence, Row: h.row, Failed: h.failed,
		Ran: h.ran + h.succeeded, BaseRate: v.baseRate(now, s), Crashes: h.recentCrashes(now),
		Excluded: v.excluded, UnderTest: v.underTest,
	}
	if !h.failedAt.IsZero() {
		n.FailedAge = now.Sub(h.failedAt)
	}
	if !h.since.IsZero() {
		n.LevelAge = now.Sub(h.since)
	}
	if t != nil {
		n.Host, n.Ticket, n.Request = t.host, t.id, t.request
	}
	if u != nil {
		n.Outcome = u.Outcome
	}
	c.notices = append(c.notices, n)
}
