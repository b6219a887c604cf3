package configcheck

import (
	"github.com/peridotmount/peridotmount/route"
)

// routeLimits finds limits of a route that contradict each other.
func (k *checker) routeLimits(r *route.Route, place string) {
	k.negative(place, routeFields(r)...)
	if r.Timeout == 0 {
		k.add(route.Warning, place, "timeout", "is zero; hosts use a timeout of their own")
	}
	if r.Timeout > 0 && r.Timeout < r.Objective {
		k.add(route.Warning, place, "timeout", "%s is below the objective, %s", r.Timeout, r.Objective)
	}
	if r.MaxAttempts > 1 && !r.Repeatable() {
		k.add(route.Warning, place, "attempts", "%d attempts, but requests of the route may not be repeated", r.MaxAttempts)
	}
	if r.Kind == route.Streaming {
		k.streamLimits(r, place)
	}
	if r.Kind == route.Batch {
		k.batchLimits(r, place)
	} else if r.Window != 0 || r.Retention != 0 || r.WaitingTokens != 0 {
		k.add(route.Note, place, "window", "window, retention and waiting tokens have no effect on a route that takes no batch jobs")
	}
}

func (k *checker) streamLimits(r *route.Route, place string) {
	if r.Objective == 0 {
		k.add(route.Warning, place, "objective", "is zero on a stream")
	}
	if r.EventGap == 0 {
		k.add(route.Warning, place, "event gap", "is zero on a stream")
	}
}

func (k *checker) batchLimits(r *route.Route, place string) {
	switch {
	case r.Window == 0:
		k.add(route.Warning, place, "window", "is zero; items are late as soon as their job is accepted")
	case r.Window > 0 && r.Window < r.Objective:
		k.add(route.Warning, place, "window", "%s is below the objective, %s", r.Window, r.Objective)
	}
	if r.Retention >= 0 && r.Retention < r.Window {
		k.add(route.Warning, place, "retention", "%s is below the window, %s; items may be abandoned before they are due", r.Retention, r.Window)
	}
	k.batchCap(r, place)
}

// batchCap compares the cap with the smallest job: one item with a prompt of one token and an
// output of one event. How many tokens a body of the largest size has can't be told here.
func (k *checker) batchCap(r *route.Route, place string) {
	if r.WaitingTokens <= 0 {
		return
	}
	for _, b := range r.Backends {
		smallest := int64(1 + k.config.TokensPerEvent(b.Service))
		if r.WaitingTokens < smallest {
			k.add(route.Error, place, "waiting tokens", "%d tokens are below the smallest job on service %q, %d", r.WaitingTokens, b.Service, smallest)
		}
	}
}
