package forward

import (
	"fmt"
	"net/http"
	"time"
)

// Shutdown is the schedule of a host that shuts down.
//
// The load it answers: the platform sends requests for some two seconds after the host was told
// to stop, most of which end in less; some would last longer than the host has, and some of these
// may run only once. Other hosts serve what this one refuses.
type Shutdown struct {
	// Closes is when the host takes no more requests, Ends when those in progress are ended.
	Closes, Ends time.Time
}

const (
	// minDurations is the number of recent requests of a route from which it is known how long
	// the next one takes.
	minDurations = 4
	// durationMargin is the margin over the longest of many requests, fewMargin divided by their
	// number what is added for few. Of durations without memory, the next one exceeds the bound
	// once in fifty times after four requests, and more rarely after more.
	durationMargin = 1.5
	fewMargin      = 8
)

// candidate is a request that may be passed on.
type candidate struct {
	// arrived is when its head was read.
	arrived time.Time
	// deadline is when it ends at the latest.
	deadline time.Time
	// once is set if it may run only once.
	once bool
	// longest is the longest time that recent requests of its route took, known their number.
	longest time.Duration
	known   int
}

// closed reports whether the host takes no more requests.
func (s *Shutdown) closed(now time.Time) bool {
	return s != nil && !now.Before(s.Closes)
}

// admits reports whether a request may be passed on: it ends before the host does, at the latest
// at its deadline, or by what is known of its route. Where too little is known, those are passed
// on that may run once more.
func (s *Shutdown) admits(now time.Time, c *candidate) bool {
	switch {
	case s == nil:
		return true
	case s.closed(c.arrived):
		return false
	case !c.deadline.After(s.Ends):
		return true
	case c.once && c.known < minDurations:
		return false
	default:
		return now.Add(c.bound()).Before(s.Ends)
	}
}

// bound returns how long the request takes at most, by what is known; zero if nothing is.
func (c *candidate) bound() time.Duration {
	if c.known == 0 {
		return 0
	}
	return time.Duration((durationMargin + fewMargin/float64(c.known)) * float64(c.longest))
}

// shutdownRejection returns the rejection of a request that other hosts serve now.
func shutdownRejection(inputs string) *Rejection {
	return &Rejection{Reason: "the host shuts down", RetryAfter: briefRetry, Inputs: inputs}
}

// lastsTooLong returns a rejection if the host shuts down and does not pass on a request that no
// endpoint has run, nil otherwise; placed is set once the request has its place.
func (f *Forwarder) lastsTooLong(req *request, placed bool) *Rejection {
	shutdown := f.opts.Shutdown()
	if shutdown == nil {
		return nil
	}
	now := time.Now()
	known, longest := f.durations.longest(now, req.durationsKey())
	c := &candidate{arrived: req.started, deadline: req.deadline, once: !req.route.Repeatable(), known: known, longest: longest.total}
	if placed {
		c.longest = longest.run
	}
	if shutdown.admits(now, c) {
		return nil
	}
	return shutdownRejection(fmt.Sprintf("%s are left, the longest of %d requests of the route took %s",
		shutdown.Ends.Sub(now).Round(time.Millisecond), known, c.longest.Round(time.Millisecond)))
}

// keepDuration keeps how long a request took that was passed on and got its response, or none
// before its deadline.
func (f *Forwarder) keepDuration(req *request, status int, now time.Time) {
	if req.passedOn.IsZero() || req.runs == 0 {
		return
	}
	if whole := status != 0 && status != http.StatusBadGateway; whole || req.ending == deadlinePassed {
		f.durations.add(req.durationsKey(), duration{ended: now, total: now.Sub(req.started), run: now.Sub(req.passedOn)})
	}
}
