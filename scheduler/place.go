package scheduler

import (
	"slices"
	"time"
)

// Costs of a place, in the worth of keeping a connection: one that has to be
// opened costs a round trip and a slot's time at the endpoint; bytes between
// regions are billed; a cached part of a prompt saves some milliseconds.
const (
	costConnect = 1.0
	costRegion  = 0.6
	costZone    = 0.1
	costPrompt  = 0.2
	// costFull is that of an endpoint that has to end other work first.
	costFull = 0.5
	// costLoad spreads work: a full engine is a few percent slower.
	costLoad = 0.4
)

// wish is what a place is looked for.
type wish struct {
	host   *member
	tokens int
	prefix []string
	avoid  []string
}

// cost returns how much worse a station is than the best possible one.
func (w *wish) cost(now time.Time, s *station) float64 {
	cost := costLoad * float64(len(s.tickets)) / float64(s.Slots)
	if len(s.tickets) >= s.Slots {
		cost += costFull
	}
	if w.host != nil {
		if !s.warm(now, w.host.name) {
			cost += costConnect
		}
		if s.Region != w.host.region {
			cost += costRegion
		} else if s.Zone != w.host.zone {
			cost += costZone
		}
	}
	// The last part belongs to the request itself.
	if n := len(w.prefix); n > 1 && !s.prompts.Has(w.prefix[n-2]) {
		cost += costPrompt
	}
	return cost
}

// best returns the cheapest station that may be used and has room by a measure,
// or nil. Stations to avoid are used if there is no other.
func (v *service) best(now time.Time, w *wish, room func(*station) bool) *station {
	var best, fallback *station
	var bestCost, fallbackCost float64
	for _, s := range v.stations {
		if !s.usable(now) || !room(s) || !s.fits(w.tokens) {
			continue
		}
		cost := w.cost(now, s)
		if slices.Contains(w.avoid, s.ID) {
			if fallback == nil || cost < fallbackCost {
				fallback, fallbackCost = s, cost
			}
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return fallback
	}
	return best
}
