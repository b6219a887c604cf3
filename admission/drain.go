package admission

import "time"

const (
	// drainWindow is the minimum time over which a rate of grants is measured.
	drainWindow   = 2 * time.Second
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// drainRate measures the rate at which a lane's queue is drained by grants.
// previousRate is the rate in the last complete window, in grants per second.
type drainRate struct {
	windowStart  time.Time
	grants       int
	previousRate float64
}

func (d *drainRate) roll(now time.Time) {
	elapsed := now.Sub(d.windowStart)
	if elapsed < drainWindow {
		return
	}
	if !d.windowStart.IsZero() {
		d.previousRate = float64(d.grants) / elapsed.Seconds()
	}
	d.windowStart = now
	d.grants = 0
}

func (d *drainRate) granted(now time.Time) {
	d.roll(now)
	d.grants++
}

// retryAfter estimates the time to drain a queue of the given length, between
// minRetryAfter and maxRetryAfter. While no grant was measured it assumes one per
// second.
func (d *drainRate) retryAfter(now time.Time, waiting int) time.Duration {
	d.roll(now)
	rate := max(d.previousRate, float64(d.grants)/drainWindow.Seconds())
	if rate == 0 {
		return min(max(minRetryAfter, time.Duration(waiting)*time.Second), maxRetryAfter)
	}
	wait := time.Duration(float64(waiting) / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
