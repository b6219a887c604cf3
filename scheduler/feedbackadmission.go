package scheduler

import (
	"slices"
	"time"
)

// baseRate returns the rate of failures that is expected of a sound endpoint, by those of the
// other endpoints.
func (v *service) baseRate(now time.Time, s *endpointState) float64 {
	others := v.underTest
	if s.health.level != healthSound {
		others--
	}
	tested := testedShare * float64(others) / float64(max(1, len(v.endpoints)))
	failures := max(0, v.failures.at(now, failureWindow)-s.health.failures.at(now, failureWindow))
	uses := max(0, v.uses.at(now, failureWindow)-s.health.uses.at(now, failureWindow))
	return min(maxBaseRate, max(minBaseRate, tested, failures/(uses+rateWeight)))
}

// failureRate returns the rate of failures of uses that began at sound endpoints.
func (v *service) failureRate(now time.Time) float64 {
	return v.failures.at(now, failureWindow) / (v.uses.at(now, failureWindow) + rateWeight)
}

// testsUnrepeatable reports whether requests that can't be repeated test endpoints, as there are no others.
func (v *service) testsUnrepeatable(now time.Time) bool {
	return v.underTest > 0 && now.Sub(v.repeatableAt) > repeatableGap && now.Sub(v.itemAt) > repeatableGap
}

// itemsTest reports whether batch items test endpoints.
func (v *service) itemsTest(now time.Time) bool {
	return now.Sub(v.repeatableAt) > repeatableGap
}

// admits reports whether an endpoint may be used for this work, by the outcomes of its uses. If it
// were none, all may be.
func (p *placement) admits(now time.Time, s *endpointState) bool {
	return (s.health.level == healthSound && !p.paths) || p.admitsTested(now, s)
}

// admitsTested is admits for endpoints under test, and hosts with failures of their own.
func (p *placement) admitsTested(now time.Time, s *endpointState) bool {
	if p.anywhere {
		return true
	}
	if p.paths && !p.host.pathAdmits(now, s.ID, p.repeatable) {
		return false
	}
	return s.admits(now, p.repeatable) || (p.overflow && s.health.admitsOverflow(now, p.repeatable || p.batch, p.otherwise, p.hold))
}

// prepareAdmission prepares a placement for admits: if no usable endpoint admits the work, it may be placed
// at any.
func (v *service) prepareAdmission(now time.Time, p *placement) {
	p.paths = p.host != nil && len(p.host.paths) > 0
	if v.underTest == 0 && !p.paths {
		return
	}
	p.anywhere = !slices.ContainsFunc(v.endpoints, func(s *endpointState) bool {
		return s.usable(now) && p.eligible(now, s) && p.admits(now, s)
	})
}

// overflow lets endpoints under test take work for which no sound endpoint has room, and that would cost
// the given time otherwise, and reports whether there are any.
func (v *service) overflow(p *placement, otherwise time.Duration) bool {
	if v.underTest <= v.excluded {
		return false
	}
	p.overflow, p.otherwise, p.hold = true, otherwise, v.meanHold
	return true
}

// waitCost returns what it costs a request to wait behind others: the time until it starts, or
// overflowHarm if that is too late.
func (c *Core) waitCost(now time.Time, v *service, p *placement) time.Duration {
	if p.last {
		return overflowHarm
	}
	wait := v.waitBound(now, c.share, p.ahead)
	if wait+v.firstTokenBound() > p.left {
		return overflowHarm
	}
	return wait
}

// probe returns an endpoint under test that is due to get this work, or nil: the one whose test
// is due for the longest time.
func (v *service) probe(now time.Time, p *placement) *endpointState {
	if v.underTest == 0 || (!p.repeatable && !p.testsUnrepeatable) {
		return nil
	}
	var best *endpointState
	for _, s := range v.endpoints {
		if s.health.level == healthSound || !s.listed || now.Before(s.pausedUntil) || !s.health.trialDue(now) {
			continue
		}
		if p.testsUnrepeatable && s.health.row > 0 && now.Sub(s.health.failedAt) < repeatableGap {
			continue
		}
		if s.heldSlots() >= s.Slots || !s.takesRequest(now) || !s.fits(p.tokens) || !p.eligible(now, s) || slices.Contains(p.avoid, s.ID) {
			continue
		}
		if p.host != nil && !p.host.pathAdmits(now, s.ID, false) {
			continue
		}
		if best == nil || s.health.lastTrial.Before(best.health.lastTrial) {
			best = s
		}
	}
	return best
}
