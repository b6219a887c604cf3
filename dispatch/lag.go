package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/objects"
)

// errLagged means an online stream was cancelled because a token was late, to be
// resumed at another endpoint.
var errLagged = errors.New("next token exceeded its timeout; stream resumes at another endpoint")

const (
	// A stream is moved if its next token takes longer than tokenTimeoutFactor times
	// the median time between tokens, but not before minTokenTimeout.
	tokenTimeoutFactor = 5
	minTokenTimeout    = 60 * time.Millisecond
)

// lagDetector cancels an online stream whose next token is late compared with the
// current median time between tokens, so that the stream is resumed at another
// endpoint from the tokens received. Moves are charged to the hedge budget, as a
// move costs the same as a hedge: processing a prompt. A nil lagDetector never
// fires.
type lagDetector struct {
	attempt   *attempt
	timer     *time.Timer
	triggered atomic.Bool
}

// newLagDetector returns the detector for an attempt, or nil if its stream must not
// be moved.
func newLagDetector(a *attempt) *lagDetector {
	c, p := a.exec.call, a.exec.d.opts.Policy
	if c.Class != objects.ClassOnline || !c.Service.Idempotent || a.exec.tickets.req.Exclusive {
		return nil
	}
	if p.Baseline || p.HedgeShare == 0 {
		return nil
	}
	return &lagDetector{attempt: a}
}

// arm starts or restarts the timeout of the next token, given the median time
// between tokens; 0 means that it is unknown and changes nothing.
func (d *lagDetector) arm(median time.Duration) {
	if d == nil || median == 0 {
		return
	}
	wait := max(minTokenTimeout, tokenTimeoutFactor*median)
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, d.fire)
		return
	}
	d.timer.Reset(wait)
}

// fire reports the late token to the router, and cancels the stream if the budget
// allows a move.
func (d *lagDetector) fire() {
	x := d.attempt.exec
	x.d.suspectLinks()
	waited := max(minTokenTimeout, tokenTimeoutFactor*x.d.router.medianToken())
	x.d.router.recordTimes(x.pool, d.attempt.host.Name, admission.Times{TokenMicros: waited.Microseconds()})
	if !x.d.hedges.withdraw(x.call.Service.Name) {
		return
	}
	d.triggered.Store(true)
	d.attempt.cancel()
}

func (d *lagDetector) stop() {
	if d != nil && d.timer != nil {
		d.timer.Stop()
	}
}

// fired reports whether the detector has cancelled the stream.
func (d *lagDetector) fired() bool {
	return d != nil && d.triggered.Load()
}
