package throttle

import (
	"math"
	"time"
)

// burstWindow is the time over which requests may be bunched. Callers come in waves, and a
// share that was not used within it is lost: the endpoint does not bear more later.
const burstWindow = 500 * time.Millisecond

// maxInterval bounds the time between two requests, where the share of a limit is tiny.
const maxInterval = time.Hour

// Pacer spaces requests to one endpoint: they become due at equal intervals, and one that is
// not sent expires. It is not safe for concurrent use.
//
// Invariant: the pacers of hosts whose shares add up to one let through, in any time t, the
// limit x (t + burstWindow) + 1 requests on the average, however many hosts there are.
type Pacer struct {
	interval time.Duration
	// expiry is how long a request that is due may wait to be sent.
	expiry time.Duration
	// next is when the next request is due.
	next time.Time
}

// NewPacer returns a Pacer for a share of a limit in requests per second. phase, from 0 to 1,
// is the fraction of an interval until the first request is due: hosts that start together
// need different ones.
func NewPacer(now time.Time, limit, share, phase float64) *Pacer {
	p := &Pacer{}
	p.setIntervals(limit, share)
	p.next = now.Add(time.Duration(phase * float64(p.interval)))
	return p
}

// SetRate changes the limit and the share. What is left of the time until the next request
// is scaled.
func (p *Pacer) SetRate(now time.Time, limit, share float64) {
	before := p.interval
	p.setIntervals(limit, share)
	if p.interval == before || !p.next.After(now) {
		return
	}
	scale := float64(p.interval) / float64(before)
	p.next = now.Add(min(maxInterval, time.Duration(scale*float64(p.next.Sub(now)))))
}

func (p *Pacer) setIntervals(limit, share float64) {
	limit = max(limit, MinRate)
	p.interval = maxInterval
	if seconds := 1 / (limit * share); seconds < maxInterval.Seconds() {
		p.interval = max(1, time.Duration(seconds*float64(time.Second)))
	}
	p.expiry = burstWindow + time.Duration(float64(time.Second)/limit)
}

// PerSecond returns how many requests per second become due.
func (p *Pacer) PerSecond() float64 {
	return float64(time.Second) / float64(p.interval)
}

// Due returns how many requests may be sent now.
func (p *Pacer) Due(now time.Time) int {
	next := p.nextUnexpired(now)
	if next.After(now) {
		return 0
	}
	return 1 + int(now.Sub(next)/p.interval)
}

// Wait returns the time until a request may be sent.
func (p *Pacer) Wait(now time.Time) time.Duration {
	return max(0, p.nextUnexpired(now).Sub(now))
}

// Take uses up one request: one that is due, or else the next one.
func (p *Pacer) Take(now time.Time) {
	p.next = p.nextUnexpired(now).Add(p.interval)
}

// nextUnexpired returns when the first request that has not expired is due.
func (p *Pacer) nextUnexpired(now time.Time) time.Time {
	late := now.Add(-p.expiry).Sub(p.next)
	if late <= 0 {
		return p.next
	}
	return p.next.Add(time.Duration(math.Ceil(float64(late)/float64(p.interval))) * p.interval)
}
