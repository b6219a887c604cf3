package scheduler

import (
	"math"
	"time"
)

// rate is a moving average of how often something happens.
type rate struct {
	value float64
	last  time.Time
}

// rateMemory is the time over which a rate is averaged: short beside the seconds
// for which a burst of callers lasts.
const rateMemory = 400 * time.Millisecond

// count notes that it happened once.
func (r *rate) count(now time.Time) {
	r.value = r.perSecond(now) + 1/rateMemory.Seconds()
	r.last = now
}

// perSecond returns the rate.
func (r *rate) perSecond(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.last).Seconds()/rateMemory.Seconds())
}
