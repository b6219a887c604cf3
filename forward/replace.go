package forward

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
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
	for {
		if req.mayBeReplaced() && f.offerReplacement(overdue, req, w) {
			cancel()
			return
		}
		select {
		case <-overdue.Done():
			return
		case <-time.After(replaceInterval):
		}
	}
}

// offerReplacement obtains a placement at an endpoint at which the request was not attempted, and
// reports whether the attempt in flight was given up for it.
func (f *Forwarder) offerReplacement(overdue context.Context, req *request, w *pace.Watch) bool {
	ask := req.placementRequest(time.Now())
	placement, err := f.opts.Placer.Place(overdue, ask)
	if err != nil {
		var rejection *Rejection
		if !errors.As(err, &rejection) && overdue.Err() == nil {
			_ = level.Warn(f.opts.Logger).Log("event", "replacement_failed", "request", req.ID, "err", err)
		}
		return false
	}
	if !slices.Contains(ask.Avoid, placement.Endpoint().ID) && req.keepReplacement(placement, w.GiveUp) {
		return true
	}
	placement.Release(Usage{Outcome: OutcomeAbandoned})
	return false
}

// mayBeReplaced reports whether an attempt may be replaced by another: not if a hedge that is in
// flight, or waits for its placement, is the last attempt.
func (r *request) mayBeReplaced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempted)+r.placing-r.refusals < r.route.MaxAttempts
}

// hasReplacement reports whether a placement is kept for the next attempt.
func (r *request) hasReplacement() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replacement != nil
}

// keepReplacement keeps a placement for the next attempt, if giveUp reports that the attempt
// in flight times out.
func (r *request) keepReplacement(p Placement, giveUp func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replacement != nil || !giveUp() {
		return false
	}
	r.replacement = p
	return true
}

// takeReplacement returns the placement that replaces the last attempt, or nil. One at another version
// than that which has begun the stream meanwhile is released.
func (r *request) takeReplacement() Placement {
	r.mu.Lock()
	p, version := r.replacement, r.version
	r.replacement = nil
	r.mu.Unlock()
	if p != nil && version != nil && p.Endpoint().Version != *version {
		p.Release(Usage{Outcome: OutcomeAbandoned})
		return nil
	}
	return p
}

// releaseReplacement releases a placement that no attempt has taken.
func (r *request) releaseReplacement() {
	if p := r.takeReplacement(); p != nil {
		p.Release(Usage{Outcome: OutcomeAbandoned})
	}
}
