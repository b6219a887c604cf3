package detour

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/peers"
)

// helpers chooses the hosts that make calls for this one. It is a deterministic state machine
// that takes the time as an argument, and is not safe for concurrent use.
//
// The load it answers: six hosts of eleven lose their links at once, or all of an availability
// zone. Calls are spread over the hosts that can help by the calls in progress there, those of
// the same zone first; a host that is full, stranded itself or gone is passed over.
type helpers struct {
	self peers.Host
	// pausedUntil maps hosts to the time until which they are not asked.
	pausedUntil map[string]time.Time
	// slowUntil maps hosts that were slow to the time until which others are preferred.
	slowUntil map[string]time.Time
	// inFlight counts the calls in progress by host.
	inFlight map[string]int
}

func newHelpers(self peers.Host) *helpers {
	return &helpers{self: self, pausedUntil: make(map[string]time.Time), slowUntil: make(map[string]time.Time), inFlight: make(map[string]int)}
}

// choose returns the host to ask for a call, or nil if there is none; tried were asked already.
// The call counts as in progress until done.
func (h *helpers) choose(now time.Time, hosts []peers.Host, tried map[string]bool) *peers.Host {
	var best *peers.Host
	var bestRank rank
	for i := range hosts {
		o := &hosts[i]
		if o.Name == h.self.Name || o.Token == "" || o.Leaving || tried[o.Name] || now.Before(h.pausedUntil[o.Name]) {
			continue
		}
		if r := h.rank(now, o); best == nil || r.before(bestRank) {
			best, bestRank = o, r
		}
	}
	if best != nil {
		h.inFlight[best.Name]++
	}
	return best
}

// rank orders hosts by how well they help.
type rank struct {
	stranded bool
	// slow hosts may be frozen, or the endpoints that they called are slow.
	slow     bool
	distance int
	inFlight int
	order    uint64
}

func (r rank) before(o rank) bool {
	switch {
	case r.stranded != o.stranded:
		// The record of a host may be two seconds old.
		return o.stranded
	case r.slow != o.slow:
		return o.slow
	case r.distance != o.distance:
		return r.distance < o.distance
	case r.inFlight != o.inFlight:
		return r.inFlight < o.inFlight
	default:
		return r.order < o.order
	}
}

func (h *helpers) rank(now time.Time, o *peers.Host) rank {
	r := rank{stranded: o.Stranded, slow: now.Before(h.slowUntil[o.Name]), inFlight: h.inFlight[o.Name], order: xxhash.Sum64String(h.self.Name + "/" + o.Name)}
	switch {
	case o.Zone == h.self.Zone:
	case o.Region == h.self.Region:
		r.distance = 1
	default:
		r.distance = 2
	}
	return r
}

// done ends a call at a host.
func (h *helpers) done(name string) {
	if h.inFlight[name]--; h.inFlight[name] <= 0 {
		delete(h.inFlight, name)
	}
}

// markSlow makes others preferred to a host for slowTime.
func (h *helpers) markSlow(now time.Time, name string) {
	for slow, until := range h.slowUntil {
		if !now.Before(until) {
			delete(h.slowUntil, slow)
		}
	}
	h.slowUntil[name] = now.Add(slowTime)
}

// pause passes a host over for a while.
func (h *helpers) pause(now time.Time, name string, d time.Duration) {
	for paused, until := range h.pausedUntil {
		if !now.Before(until) {
			delete(h.pausedUntil, paused)
		}
	}
	if until := now.Add(d); until.After(h.pausedUntil[name]) {
		h.pausedUntil[name] = until
	}
}
