package throttle

import (
	"math"
	"slices"
	"time"
)

const (
	// Window is the time over which endpoints count the requests that they get. By their
	// contract they bear half as much again as their limit in it, and five requests.
	Window = 4 * time.Second
	// tolerance and toleratedRequests are how far a scheduler of all hosts may exceed a limit
	// within a Window while requests wait: by a fraction of it, and by requests. What is left
	// of the contract is for moments at which two schedule. A host with a share of the limit
	// uses as much less of the tolerance.
	tolerance         = 0.45
	toleratedRequests = 2.0
	// baseExpiry, the time in which one request becomes due at the limit, and shareExpiry times
	// the square of the share are how long a request that is due may wait to be sent. Callers
	// come in waves: what a scheduler of all hosts has not sent in a lull is good for the next
	// wave. Hosts with small shares can't know whether all of them send at the same moment,
	// and keep little.
	baseExpiry  = 250 * time.Millisecond
	shareExpiry = 1750 * time.Millisecond
	// minCountedShare is the smallest share for which the requests of a Window are counted:
	// smaller ones are spaced alone, as they may be less than a request.
	minCountedShare = 0.5
	// maxInterval bounds the time between two requests, where the share of a limit is tiny.
	maxInterval = time.Hour
)

// Pacer spaces requests to one endpoint: they become due at equal intervals, and one that is
// not sent expires. It is not safe for concurrent use.
//
// Invariant: within any Window, a Pacer lets through at most r requests and one more, where r is
// share x (limit x Window + share x (limit x Window x tolerance + toleratedRequests)). With a
// share below minCountedShare, the mean over phases of what it lets through within any time t is
// r x (t + expiry) / Window.
type Pacer struct {
	interval time.Duration
	// expiry is how long a request that is due may wait to be sent.
	expiry time.Duration
	// next is when the next request is due.
	next time.Time
	// most is the number of requests within a Window, zero if they are not counted, sent are
	// the times of those within the last one, oldest first.
	most int
	sent []time.Time
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

// SetRate changes the limit and the share. A lower rate takes away as much of what has
// accrued, so that a host that used a larger share before has no more than the others.
func (p *Pacer) SetRate(now time.Time, limit, share float64) {
	before, next := p.interval, p.unexpired(now)
	p.setIntervals(limit, share)
	if p.interval == before {
		return
	}
	accrued := 1 + float64(now.Sub(next))/float64(before)
	if p.interval > before {
		accrued *= float64(before) / float64(p.interval)
	}
	p.next = now.Add(time.Duration((1 - accrued) * float64(p.interval)))
}

func (p *Pacer) setIntervals(limit, share float64) {
	limit = max(limit, MinRate)
	requests := share * (limit*Window.Seconds() + share*(limit*Window.Seconds()*tolerance+toleratedRequests))
	p.interval = maxInterval
	if seconds := Window.Seconds() / requests; seconds < maxInterval.Seconds() {
		p.interval = max(1, time.Duration(seconds*float64(time.Second)))
	}
	p.expiry = baseExpiry + time.Duration(float64(time.Second)/limit+share*share*float64(shareExpiry))
	p.most = 0
	if share >= minCountedShare {
		p.most = 1 + int(requests)
	}
}

// PerSecond returns how many requests per second become due.
func (p *Pacer) PerSecond() float64 {
	return float64(time.Second) / float64(p.interval)
}

// Due returns how many requests may be sent now.
func (p *Pacer) Due(now time.Time) int {
	next := p.unexpired(now)
	if next.After(now) {
		return 0
	}
	due := 1 + int(now.Sub(next)/p.interval)
	if p.most > 0 {
		due = max(0, min(due, p.most-p.counted(now)))
	}
	return due
}

// Fill returns the fraction, from 0 to 1, of the requests that can accrue that have.
func (p *Pacer) Fill(now time.Time) float64 {
	fill := min(1, max(0, float64(now.Sub(p.unexpired(now)))/float64(p.expiry)))
	if p.most > 0 {
		fill = min(fill, 1-float64(p.counted(now))/float64(p.most))
	}
	return fill
}

// Wait returns the time until a request may be sent.
func (p *Pacer) Wait(now time.Time) time.Duration {
	wait := max(0, p.unexpired(now).Sub(now))
	if n := p.counted(now); p.most > 0 && n >= p.most {
		wait = max(wait, p.sent[n-p.most].Add(Window).Sub(now))
	}
	return wait
}

// Take uses up one request: the one that is due first, or else the next one.
func (p *Pacer) Take(now time.Time) {
	p.next = p.unexpired(now).Add(p.interval)
	p.Observe(now, now)
}

// Forfeit takes away all requests that are due and were not sent.
func (p *Pacer) Forfeit(now time.Time) {
	if p.next.Before(now) {
		p.next = now.Add(p.interval)
	}
}

// Observe counts a request that was sent at a time before: by this host, or by another one under
// an earlier scheduler.
func (p *Pacer) Observe(now, sent time.Time) {
	p.counted(now)
	if now.Sub(sent) >= Window {
		return
	}
	at, _ := slices.BinarySearchFunc(p.sent, sent, time.Time.Compare)
	p.sent = slices.Insert(p.sent, at, sent)
}

// counted returns how many requests were sent within the last Window.
func (p *Pacer) counted(now time.Time) int {
	old := 0
	for old < len(p.sent) && now.Sub(p.sent[old]) >= Window {
		old++
	}
	p.sent = slices.Delete(p.sent, 0, old)
	return len(p.sent)
}

// unexpired returns when the first request that has not expired is due.
func (p *Pacer) unexpired(now time.Time) time.Time {
	late := now.Add(-p.expiry).Sub(p.next)
	if late <= 0 {
		return p.next
	}
	return p.next.Add(time.Duration(math.Ceil(float64(late)/float64(p.interval))) * p.interval)
}
