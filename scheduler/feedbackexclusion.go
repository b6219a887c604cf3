package scheduler

import (
	"slices"
	"time"
)

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
