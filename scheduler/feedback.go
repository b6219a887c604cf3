package scheduler

import (
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
