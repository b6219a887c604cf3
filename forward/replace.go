package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/pace"
)

// replaceInterval is the time between two requests for a placement for a request whose
// endpoint is silent.
const replaceInterval = 200 * time.Millisecond

// replace obtains a placement at another endpoint for a request whose attempt is overdue, and
// then ends the attempt by cancel. Until there is one, the endpoint may go on and complete
// the attempt, which ends overdue: a sound endpoint may be silent for a moment, and an
// attempt that ends without another place leaves the client without an answer.
func (f *Forwarder) replace(overdue context.Context, req *request, w *pace.Watch, cancel context.CancelFunc) {
	for req.mayBeReplaced() {
		placement, err := f.opts.Placer.Place(overdue, req.placementRequest(time.Now()))
		if err == nil {
			if req.offerReplacement(placement, w.GiveUp) {
				cancel()
			} else {
				placement.Release(Usage{Outcome: OutcomeAbandoned})
			}
			return
		}
		var rejection *Rejection
		if !errors.As(err, &rejection) {
			return
		}
		select {
		case <-overdue.Done():
			return
		case <-time.After(replaceInterval):
		}
	}
}

// mayBeReplaced reports whether an attempt may be replaced by another: not if a hedge is in
// flight that is the last attempt.
func (r *request) mayBeReplaced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempted)-r.refusals < r.route.MaxAttempts
}

// offerReplacement keeps a placement for the next attempt, if giveUp reports that the attempt
// in flight times out.
func (r *request) offerReplacement(p Placement, giveUp func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replacement != nil || !giveUp() {
		return false
	}
	r.replacement = p
	return true
}

// takeReplacement returns the placement that replaces the last attempt, or nil.
func (r *request) takeReplacement() Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.replacement
	r.replacement = nil
	return p
}

// releaseReplacement releases a placement that no attempt has taken.
func (r *request) releaseReplacement() {
	if p := r.takeReplacement(); p != nil {
		p.Release(Usage{Outcome: OutcomeAbandoned})
	}
}
