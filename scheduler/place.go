package scheduler

import (
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/promptcache"
)

// Costs of a placement, relative to the cost of opening a connection, which takes a
// round trip and slot time at the endpoint. Traffic between regions is billed. A cached
// part of the prompt saves some milliseconds.
const (
	costConnect = 1.0
	costRegion  = 0.6
	costZone    = 0.1
	costPrompt  = 0.2
	// costFull is the cost of an endpoint that first has to end a revoked batch item.
	costFull = 0.5
	// costLoad spreads work over endpoints, as a full engine is a few percent slower.
	costLoad = 0.4
	// costLimited keeps online requests away from endpoints whose rate limit will be needed
	// for the next wave of them, the more the less has accrued there.
	costLimited = 0.5
	// costRevocable keeps batch items away from endpoints without a rate limit while others
	// have one: the slots there are what waves of online requests need, and an item that is
	// revoked and goes on costs a request more.
	costRevocable = 1.5
	// riskUnit is the expected harm of a failure that costs as much as a connection.
	riskUnit = 50 * time.Millisecond
)

// placement describes work for which an endpoint is to be chosen.
type placement struct {
	host   *member
	tokens int
	prefix []string
	avoid  []string
	// version is the software version that the endpoint must have; nil if any will do.
	version *string
	// batch means that the work is a batch item.
	batch bool
	// limited means that some endpoints of the service have a rate limit.
	limited bool
	// chain, expected and left are used only with Options.WeighWaits: the part of the prompt
	// that others may share, the tokens that are expected to be generated, and the time until
	// the objective passes.
	chain    *promptcache.Chain
	expected int
	left     time.Duration
	// repeatable means that the work may run again after a failure; anywhere that no usable
	// endpoint admits it, so that any will do.
	repeatable, anywhere bool
	// overflow means that endpoints under test may take the work, as no sound one has room; otherwise
	// is what it costs not to start, and hold how long uses last.
	overflow        bool
	otherwise, hold time.Duration
	// ahead is how many requests are before it; last means that it is refused if it does not start.
	ahead int
	last  bool
	// paths means that the host has failed at endpoints of late.
	paths bool
	// testsUnrepeatable means that the work tests endpoints though it can't be repeated.
	testsUnrepeatable bool
}

// eligible reports whether a usable endpoint can be used for this work: it has the version that
// the work needs, and the host has read its record.
func (p *placement) eligible(now time.Time, s *endpointState) bool {
	return s.hasVersion(p.version) && (p.host == nil || p.host.mayUse(now, s.ID))
}

// cost returns the cost of placing the work at an endpoint; 0 is ideal.
func (p *placement) cost(now time.Time, s *endpointState) float64 {
	cost := costLoad * float64(len(s.tickets)) / float64(s.Slots)
	if len(s.tickets) >= s.Slots {
		cost += costFull
	}
	if p.host != nil {
		if !s.hasIdleConnection(now, p.host.name) {
			cost += costConnect
		}
		if s.Region != p.host.region {
			cost += costRegion
		} else if s.Zone != p.host.zone {
			cost += costZone
		}
	}
	switch {
	case p.batch && p.limited && s.pacer == nil:
		cost += costRevocable
	case !p.batch && s.pacer != nil:
		cost += costLimited * (1 - s.pacer.Fill(now))
	}
	// The last part of a prompt is specific to the request and never cached.
	if n := len(p.prefix); n > 1 && !s.promptParts.Has(p.prefix[n-2]) {
		cost += costPrompt
	}
	return cost + float64(s.risk(now, p.repeatable))/float64(riskUnit)
}

// cheapest returns the usable endpoint of the lowest cost among those for which room
// returns true, or nil. Endpoints to avoid are returned only if there is no other.
func (v *service) cheapest(now time.Time, p *placement, room func(*endpointState) bool) *endpointState {
	if v.choice != nil {
		return v.leastWait(now, p, room)
	}
	var best, fallback *endpointState
	var bestCost, fallbackCost float64
	for _, s := range v.endpoints {
		if !s.usable(now) || !p.eligible(now, s) || !p.admits(now, s) || !room(s) || !s.fits(p.tokens) {
			continue
		}
		cost := p.cost(now, s)
		if slices.Contains(p.avoid, s.ID) {
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
