package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxExcludedShare is the largest part of a service's endpoints that is excluded.
	maxExcludedShare = 1.0 / 3
	// testedShare is how much of the share of endpoints under test is taken for the rate of
	// failures of a sound one: where many endpoints fail at the same time, the requests are
	// likely to be the cause.
	testedShare = 0.5
	// worseRate is by how much the failure rate of an endpoint has to be higher to be excluded
	// in place of another one.
	worseRate = 0.1
	// repeatableGap is after how long without repeatable requests batch items test endpoints,
	// and then requests that can't be repeated, one in that time: an endpoint would never be
	// used again.
	repeatableGap = 2 * time.Second
	// silentAfter is how long an endpoint sends no event of a stream before the client leaves,
	// for the endpoint to have failed.
	silentAfter = 2500 * time.Millisecond
	// maxHeardFailures bounds the failures at one endpoint that a joining host can report, so
	// that one host alone excludes none.
	maxHeardFailures = 2
)

// workOf returns the identity of work that may fail wherever it runs; 0 means unknown.
func workOf(fingerprint string) uint64 {
	if fingerprint == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(fingerprint))
}

// workOfItem returns that of a batch item.
func workOfItem(ref ItemRef) uint64 {
	return workOf("item/" + ref.Job + "/" + strconv.Itoa(ref.Item))
}

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

// observeHealth updates what is believed of an endpoint by the end of a use.
func (c *Core) observeHealth(now time.Time, v *service, t *ticket, u *Usage) {
	s, m := t.endpoint, c.members[t.host]
	if t.since.Before(s.health.startedAt) {
		return // At the former process.
	}
	switch u.Outcome {
	case Finished:
		c.observeSuccess(now, v, t, u, m)
		s.speed.observe(now, v, u)
	case Errored:
		s.health.responded(now)
		c.observeFailure(now, v, t, u, m, false)
	case Unreachable, Failed:
		c.observeFailure(now, v, t, u, m, true)
	case Abandoned:
		if u.Silent >= silentAfter {
			c.observeFailure(now, v, t, u, m, false)
		}
	default:
	}
}

func (c *Core) observeSuccess(now time.Time, v *service, t *ticket, u *Usage, m *member) {
	s := t.endpoint
	h := &s.health
	h.responded(now)
	v.countUse(now, t, m, false)
	if m != nil {
		m.pathSucceeded(t.since, s.ID)
	}
	if h.failed > 0 && h.failedHost != t.host && !h.mixed(now) && t.since.After(h.failedGrant) {
		if b := c.members[h.failedHost]; b != nil {
			if p := b.paths[s.ID]; p != nil && p.failures >= pathFailures {
				if !p.bad {
					c.note(now, v, s, StepPath, t, u)
				}
				p.block(now)
				h.failures.add(now, -float64(h.failed))
				h.crashes = [maxCrashes]time.Time{}
				h.excludedAt = time.Time{}
				h.forget(0)
			}
		}
	}
	if t.trial && h.level == healthExcluded {
		c.note(now, v, s, StepProbeSucceeded, t, u)
	}
	h.succeed(now, t.since, v.baseRate(now, s))
	c.assess(now, v, s, t, u)
}

// countUse counts a use in the rates of failures.
func (v *service) countUse(now time.Time, t *ticket, m *member, failed bool) {
	n := 0.0
	if failed {
		n = 1
	}
	v.allUses.add(now, 1)
	v.allFailures.add(now, n)
	if !t.trial {
		v.uses.add(now, 1)
		v.failures.add(now, n)
	}
	if m != nil {
		m.used.add(now, 1)
		m.failed.add(now, n)
	}
}

// observeFailure counts a failed use against the endpoint, or against what else is its cause. lost
// means that the response did not arrive, so that the endpoint or the way to it may be gone.
func (c *Core) observeFailure(now time.Time, v *service, t *ticket, u *Usage, m *member, lost bool) {
	if (m != nil && m.stranded) || c.suspects.Has(t.keys) {
		return
	}
	s := t.endpoint
	h := &s.health
	doubted := false
	if m != nil {
		p := m.pathFailed(now, t.since, s.ID)
		if doubted = (p.bad && !h.mixed(now)) || m.doubted(now, v); doubted {
			if !p.bad {
				c.note(now, v, s, StepPath, t, u)
			}
			p.block(now)
		}
	}
	base := v.baseRate(now, s)
	v.countUse(now, t, m, true)
	if doubted {
		return
	}
	h.seenBy(now, t.host)
	work := t.work
	if work == 0 {
		work = workOf(u.Work)
	}
	if w := v.works.find(now, work); w != nil && (w.faulty || w.failsAnywhere(s)) {
		c.blameWork(now, v, w, t, u)
		return
	}
	// further means that uses broke just before, perhaps for the same cause: they count as one.
	further := false
	if lost {
		if h.sameCrash(now, t.since) {
			return
		}
		further = now.Sub(h.brokenAt) < breakSpan
		if lost = s.gone(now, u.Outcome); lost {
			h.lose(now, t.since)
		}
	}
	h.uses.add(now, 1)
	switch {
	case lost && h.counted && now.Sub(h.brokenAt) < goneSpan:
		// Crashes have caution of their own.
		h.failures.add(now, -1)
		h.counted = false
	case !lost && !further:
		h.failures.add(now, 1)
		h.counted = u.Outcome == Failed
	}
	evidence := h.fail(now, t.since, work, base)
	v.works.record(now, work, s, evidence, lost)
	if t.trial && h.level == healthExcluded {
		c.note(now, v, s, StepProbeFailed, t, u)
	}
	c.assess(now, v, s, t, u)
}

// blameWork takes back the failures of work that fails wherever it runs.
func (c *Core) blameWork(now time.Time, v *service, w *failedWork, t *ticket, u *Usage) {
	if !w.faulty {
		c.note(now, v, t.endpoint, StepWork, t, u)
	}
	w.faulty, w.at = true, now
	for i := range w.n {
		s := w.endpoints[i]
		s.health.withdraw(now, w.evidence[i])
		s.health.broken, s.health.counted, s.health.brokenAt = 0, false, time.Time{}
		if w.lost[i] {
			s.health.withdrawCrash()
		}
		w.endpoints[i] = nil
		c.assess(now, v, s, nil, nil)
	}
	w.n = 0
}

// blamesHost reports whether a failure says more of the host's links than of the endpoint, which is
// then not paused for others.
func (c *Core) blamesHost(now time.Time, v *service, t *ticket) bool {
	m := c.members[t.host]
	if !c.opts.EndpointFeedback || m == nil {
		return false
	}
	p := m.paths[t.endpoint.ID]
	return (p != nil && p.bad && !t.endpoint.health.mixed(now)) || m.doubted(now, v)
}

// pauses reports whether an endpoint is paused after a use that broke. With feedback it is only if
// its process may be gone; other failures are judged by their rate.
func (c *Core) pauses(now time.Time, s *endpointState, o Outcome) bool {
	return !c.opts.EndpointFeedback || o == Unreachable || now.Sub(s.health.lastCrash()) < breakSpan
}

// longestPause returns the longest pause after failures. With feedback, the endpoint is tested by
// few requests after that.
func (c *Core) longestPause() time.Duration {
	if c.opts.EndpointFeedback {
		return trialDelays[len(trialDelays)-1]
	}
	return maxPause
}

// assess sets the level of an endpoint by its outcomes.
func (c *Core) assess(now time.Time, v *service, s *endpointState, t *ticket, u *Usage) {
	if s.removed {
		return
	}
	h := &s.health
	h.rateRisk(now, v.failureRate(now))
	level := h.target(now, v.baseRate(now, s))
	if level == healthExcluded && h.level != healthExcluded && !c.mayExclude(now, v, s) {
		if h.level == healthSound {
			c.note(now, v, s, StepSpared, t, u)
		}
		level = healthSuspected
	}
	c.setLevel(now, v, s, level, t, u)
}

func (c *Core) setLevel(now time.Time, v *service, s *endpointState, level healthLevel, t *ticket, u *Usage) {
	h := &s.health
	if level == h.level {
		return
	}
	v.countLevel(h.level, -1)
	v.countLevel(level, 1)
	step := [...]HealthStep{StepSound, StepSuspected, StepReturning, StepExcluded}[level]
	h.level = level
	c.note(now, v, s, step, t, u)
	h.since = now
	if level == healthExcluded {
		h.excludedAt = now
	}
}

// countLevel counts an endpoint that has a level, or no longer has it.
func (v *service) countLevel(level healthLevel, n int) {
	if level != healthSound {
		v.underTest += n
	}
	if level == healthExcluded {
		v.excluded += n
	}
}

// mayExclude reports whether an endpoint can be excluded: others of its version are left, and no
// more than a third of the service is excluded then. One that fails less often is used again in
// place of it.
func (c *Core) mayExclude(now time.Time, v *service, s *endpointState) bool {
	listed, excluded := 0, 0
	left := false
	var mildest *endpointState
	for _, o := range v.endpoints {
		if !o.listed {
			continue
		}
		listed++
		switch {
		case o.health.level == healthExcluded:
			excluded++
			if mildest == nil || o.health.failureRate() < mildest.health.failureRate() {
				mildest = o
			}
		case o != s && o.Version == s.Version:
			left = true
		}
	}
	limit := int(maxExcludedShare * float64(listed))
	if !left || limit == 0 {
		return false
	}
	if excluded < limit {
		return true
	}
	if mildest.health.failureRate()+worseRate > s.health.failureRate() {
		return false
	}
	c.setLevel(now, v, mildest, healthSuspected, nil, nil)
	return true
}

// limitExcluded has endpoints used again if those that are left are too few.
func (c *Core) limitExcluded(now time.Time, v *service) {
	for v.excluded > 0 {
		listed, excluded := 0, 0
		var mildest *endpointState
		for _, s := range v.endpoints {
			if !s.listed {
				continue
			}
			listed++
			if s.health.level != healthExcluded {
				continue
			}
			excluded++
			alone := !slices.ContainsFunc(v.endpoints, func(o *endpointState) bool {
				return o.listed && o.health.level != healthExcluded && o.Version == s.Version
			})
			if alone {
				mildest = s
				excluded = listed + 1
				break
			}
			if mildest == nil || s.health.failureRate() < mildest.health.failureRate() {
				mildest = s
			}
		}
		if mildest == nil || float64(excluded) <= maxExcludedShare*float64(listed) {
			return
		}
		c.setLevel(now, v, mildest, healthSuspected, nil, nil)
	}
}

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
