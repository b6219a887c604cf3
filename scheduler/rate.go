package scheduler

import (
	"math"
	"time"
)

// rate is an exponentially decaying average of the frequency of an event.
type rate struct {
	value float64
	last  time.Time
}

// rateWindow is the time constant of a rate. It is short compared to a burst of online
// requests, which lasts for seconds.
const rateWindow = 400 * time.Millisecond

// count records one event.
func (r *rate) count(now time.Time) {
	r.value = r.perSecond(now) + 1/rateWindow.Seconds()
	r.last = now
}

// perSecond returns the events per second.
func (r *rate) perSecond(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.last).Seconds()/rateWindow.Seconds())
}
