package scheduler

import (
	"math/bits"
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/promptcache"
)

// choice is what the choice of endpoints by the time that callers wait keeps of a service, in a
// form in which a decision passes over a large pool quickly. It exists only with
// Options.WeighWaits.
type choice struct {
	// pool models the engines' prompt caches, rate is how fast they read prompts.
	pool *promptcache.Pool
	rate promptcache.Rate
	// rows holds an endpoint at the number that it has in the pool.
	rows []row
	// open are the endpoints that are listed and have a slot that is free or being freed.
	open promptcache.Set
	// idle are the endpoints to which a host has or had idle connections.
	idle map[string]promptcache.Set
	// places are the zones of the endpoints. reach is used during a decision: the waits to
	// reach each of them.
	places []place
	reach  []reach
}

// row holds what is needed for a lower bound of the cost of an endpoint.
type row struct {
	endpoint *endpointState
	// pace is endpointState.pace, slowdown how much longer a step takes than at an empty
	// engine of the median pace, for the work in progress.
	pace, slowdown float32
	// preference orders equally good endpoints.
	preference float32
	place      int32
}

// reach holds the waits of a host to reach the endpoints of a zone.
type reach struct {
	distance, connection float64
}

// place is where endpoints are.
type place struct {
	zone, region string
}

func newChoice() *choice {
	return &choice{pool: promptcache.NewPool(), idle: make(map[string]promptcache.Set)}
}

// add adds an endpoint to the service.
func (c *choice) add(s *endpointState) {
	s.choice, s.cache = c, c.pool.Add(s.CacheTokens)
	for len(c.rows) <= s.cache.Number() {
		c.rows = append(c.rows, row{})
	}
	c.rows[s.cache.Number()] = row{endpoint: s}
	s.refresh()
}

// remove removes an endpoint from the service.
func (c *choice) remove(s *endpointState) {
	n := s.cache.Number()
	c.pool.Remove(s.cache)
	c.rows[n] = row{}
	c.open.Remove(n)
	for _, idle := range c.idle {
		idle.Remove(n)
	}
	s.choice, s.cache = nil, nil
}

// setIdle records that a host has an idle connection to an endpoint.
func (c *choice) setIdle(host string, s *endpointState) {
	c.idle[host] = c.idle[host].Add(s.cache.Number())
}

// placeOf returns the index of a zone in places.
func (c *choice) placeOf(p place) int32 {
	if i := slices.Index(c.places, p); i >= 0 {
		return int32(i)
	}
	c.places = append(c.places, p)
	c.reach = append(c.reach, reach{})
	return int32(len(c.places) - 1)
}

// refresh brings the row of the endpoint up to date. It is called after each change of its
// slots.
func (s *endpointState) refresh() {
	if s.choice == nil {
		return
	}
	c, n := s.choice, s.cache.Number()
	if !s.listed || s.heldSlots() >= s.Slots {
		c.open.Remove(n)
	} else {
		c.open = c.open.Add(n)
	}
	r := &c.rows[n]
	pace := s.pace()
	r.pace, r.slowdown = float32(pace), float32(slowdown(s, pace))
	r.preference = float32(maxPreference * s.phase())
	if r.place == 0 || c.places[r.place-1] != (place{s.Zone, s.Region}) {
		r.place = c.placeOf(place{s.Zone, s.Region}) + 1
	}
	s.cache.SetRunning(s.tokens)
}

// updateCache applies a change of the endpoint's record.
func (s *endpointState) updateCache(restarted bool) {
	if s.choice == nil {
		return
	}
	if restarted {
		s.cache.Restart()
		s.prefillUntil = time.Time{}
	}
	s.cache.SetCapacity(s.CacheTokens)
	s.refresh()
}

// leastWait returns the usable endpoint at which the work waits the least among those for which
// room returns true, or nil. Endpoints to avoid are returned only if there is no other.
//
// Most endpoints are passed over by a lower bound of their cost: a decision among 760 of them
// would take ten times as long otherwise, and the scheduler makes up to 800 a second on a third
// of a core.
func (v *service) leastWait(now time.Time, p *placement, room func(*endpointState) bool) *endpointState {
	c, k := v.choice, v.weights(p)
	var holders [promptcache.MaxParts]promptcache.Set
	parts := 0
	if p.chain != nil {
		holders, parts = c.pool.Holders(p.chain), len(p.chain.Parts())
	}
	var idle promptcache.Set
	clear(c.reach)
	if p.host != nil {
		idle = c.idle[p.host.name]
		for i, at := range c.places {
			c.reach[i] = reach{distance: distanceWait(p.host, at), connection: connectionWait(p.host, at)}
		}
	}
	var best, fallback *endpointState
	var bestCost, fallbackCost float64
	for i, open := range c.open {
		connected := idle.Word(i)
		for ; open != 0; open &= open - 1 {
			bit := open & -open
			r := &c.rows[i<<6+bits.TrailingZeros64(open)]
			held := 0
			for held < parts && holders[held].Word(i)&bit != 0 {
				held++
			}
			to := &c.reach[r.place-1]
			bound := k.run*float64(r.slowdown+r.pace-1) + k.prefill[held]*float64(r.pace) + to.distance + float64(r.preference)
			if connected&bit == 0 {
				bound += to.connection
			}
			if best != nil && bound >= bestCost {
				continue
			}
			s := r.endpoint
			if !s.usable(now) || !p.eligible(now, s) || !room(s) || !s.fits(p.tokens) || !s.admits(now, p.repeatable) {
				continue
			}
			w := p.waits(now, &k, s, held)
			cost := w.sum() + float64(r.preference)
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
	}
	if best == nil {
		return fallback
	}
	return best
}
