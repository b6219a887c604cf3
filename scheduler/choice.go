package scheduler

import (
	"math"
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
	// pace is (*endpointState).pace; tests replace it.
	pace func(*endpointState) float64
	// rows holds an endpoint at the number that it has in the pool.
	rows []row
	// least is the least slack of the open endpoints of each word of a Set.
	least []float64
	// open are the endpoints that are listed and have a slot that is free or being freed.
	open promptcache.Set
	// idle are the endpoints to which a host has or had idle connections.
	idle map[string]promptcache.Set
	// crossed sums up what requests of a region have waited as the last shared part of their
	// prompt was cached only in other regions. It counts against the time to read the part in
	// the region: otherwise each request would find the way to the other region shorter, and
	// all of them together would take it for ever. It is cleared at maxCrossed entries.
	crossed map[crossing]float64
	// places are the zones of the endpoints. reach is used during a decision: the waits to
	// reach each of them.
	places []place
	reach  []reach
}

// row holds what is needed for a lower bound of the cost of an endpoint.
type row struct {
	endpoint *endpointState
	// slack is how much longer a step takes than at an empty endpoint of the median pace, due
	// to the pace and the work in progress, and reading how long it takes to read a prompt, with
	// the weight of what others wait. Both are relative.
	slack, reading float64
	// preference orders equally good endpoints.
	preference float64
}

// reach holds the waits of a host to reach the endpoints of a zone.
type reach struct {
	distance, connection float64
}

// crossing is a shared part of prompts and a region with requests for it.
type crossing struct {
	part   uint64
	region string
}

// maxCrossed bounds choice.crossed.
const maxCrossed = 8192

// place is where endpoints are.
type place struct {
	zone, region string
}

func newChoice() *choice {
	return &choice{pool: promptcache.NewPool(), pace: (*endpointState).pace, idle: make(map[string]promptcache.Set), crossed: make(map[crossing]float64)}
}

// add adds an endpoint to the service.
func (c *choice) add(s *endpointState) {
	s.choice, s.place = c, place{s.Zone, s.Region}
	s.cache = c.pool.Add(c.placeOf(s.place), s.CacheTokens)
	n := s.cache.Number()
	for len(c.rows) <= n {
		c.rows = append(c.rows, row{})
	}
	for len(c.least) <= n>>6 {
		c.least = append(c.least, 0)
	}
	c.rows[n] = row{endpoint: s, preference: maxPreference * s.phase()}
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
func (c *choice) placeOf(p place) int {
	if i := slices.Index(c.places, p); i >= 0 {
		return i
	}
	c.places = append(c.places, p)
	c.reach = append(c.reach, reach{})
	return len(c.places) - 1
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
	s.refreshRow()
	c.setLeast(n >> 6)
	s.cache.SetRunning(s.tokens)
}

// refreshRow computes the row of the endpoint.
func (s *endpointState) refreshRow() {
	r, pace := &s.choice.rows[s.cache.Number()], s.choice.paceOf(s)
	r.slack = slowdown(s, pace) + pace - 1
	r.reading = pace * (1 + othersShare(s) + displacedShare)
}

// refreshPaces brings the rows of all endpoints up to date. It is called after the endpoints of the
// service were compared, which may change the pace of each of them.
func (c *choice) refreshPaces() {
	for _, r := range c.rows {
		if r.endpoint != nil {
			r.endpoint.refreshRow()
		}
	}
	for word := range c.least {
		c.setLeast(word)
	}
}

// setLeast updates the least slack of the open endpoints of a word.
func (c *choice) setLeast(word int) {
	least := math.Inf(1)
	for open := c.open.Word(word); open != 0; open &= open - 1 {
		least = min(least, c.rows[word<<6+bits.TrailingZeros64(open)].slack)
	}
	c.least[word] = least
}

// paceOf returns the pace of an endpoint, at least minPace.
func (c *choice) paceOf(s *endpointState) float64 {
	return max(minPace, c.pace(s))
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
	if s.place != (place{s.Zone, s.Region}) {
		c := s.choice
		c.remove(s)
		c.add(s)
	}
	s.cache.SetCapacity(s.CacheTokens)
	s.refresh()
}

// leastWait returns the usable endpoint at which the work waits the least among those for which
// room returns true, or nil. Endpoints to avoid are returned only if there is no other.
//
// Most endpoints are passed over by a lower bound of their cost, those of a whole zone if
// possible: a decision among 760 of them would take ten times as long otherwise. The endpoints
// that are probably the best come first, as the bounds are compared to the best so far: those
// with an idle connection, then those of the region.
func (v *service) leastWait(now time.Time, p *placement, room func(*endpointState) bool) *endpointState {
	c := v.choice
	q := search{now: now, p: p, c: c, k: v.weights(p), room: room}
	var idle promptcache.Set
	clear(c.reach)
	if p.host != nil {
		idle = c.idle[p.host.name]
		for i, at := range c.places {
			c.reach[i] = reach{distance: distanceWait(p.host, at), connection: connectionWait(p.host, at)}
		}
	}
	if p.chain != nil {
		q.holders, q.parts = c.pool.Holders(p.chain), len(p.chain.Parts())
	}
	q.near = q.k.invested(c.crossedBy(p))
	for i, open := range c.open {
		if known := open & idle.Word(i); known != 0 {
			q.word(i, known, c.reach[c.pool.Group(i)].distance, c.reach[c.pool.Group(i)].distance < crossRegionTrip)
		}
	}
	for _, far := range [...]bool{false, true} {
		for i, open := range c.open {
			to := c.reach[c.pool.Group(i)]
			if rest := open &^ idle.Word(i); rest != 0 && (to.distance >= crossRegionTrip) == far {
				q.word(i, rest, to.distance+to.connection, !far)
			}
		}
	}
	if q.best == nil {
		return q.fallback
	}
	return q.best
}

// costAt returns the cost of an endpoint.
func (v *service) costAt(now time.Time, p *placement, s *endpointState) float64 {
	k, held := v.weights(p), 0
	if p.chain != nil {
		held = s.cache.Held(p.chain)
	}
	w := p.waits(now, &k, s, held)
	return w.sum() + maxPreference*s.phase()
}

// crossedBy returns how long requests of the host's region have waited for crossing to another
// region, as the last shared part of the prompt was cached only there.
func (c *choice) crossedBy(p *placement) float64 {
	if p.host == nil || p.chain == nil || len(p.chain.Parts()) == 0 {
		return 0
	}
	parts := p.chain.Parts()
	return c.crossed[crossing{parts[len(parts)-1].Key, p.host.region}]
}

// placed records a placement, for crossedBy.
func (c *choice) placed(p *placement, s *endpointState, e *estimate) {
	if p.host == nil || p.batch || len(p.chain.Parts()) == 0 {
		return
	}
	parts := p.chain.Parts()
	x := crossing{parts[len(parts)-1].Key, p.host.region}
	switch {
	case s.Region == p.host.region && e.held < p.chain.Shared():
		delete(c.crossed, x)
	case s.Region != p.host.region && e.held > 0:
		if len(c.crossed) >= maxCrossed {
			clear(c.crossed)
		}
		c.crossed[x] += e.waits.Distance + e.waits.Connection
	}
}

// search is a search for the endpoint of the least cost.
type search struct {
	now     time.Time
	p       *placement
	c       *choice
	k       weights
	room    func(*endpointState) bool
	holders [promptcache.MaxParts]promptcache.Set
	parts   int
	// near replaces weights.prefill in the region of the host.
	near [promptcache.MaxParts + 1]float64
	// best is the best endpoint so far, fallback that among the endpoints to avoid.
	best, fallback         *endpointState
	bestCost, fallbackCost float64
}

// word considers the given endpoints of a word of a Set, where the distance and the connection
// have the cost base. near means that they are in the region of the host.
func (q *search) word(i int, open uint64, base float64, near bool) {
	prefill := &q.k.prefill
	if near {
		prefill = &q.near
	}
	var holders [promptcache.MaxParts]uint64
	depth := 0
	for depth < q.parts {
		if holders[depth] = q.holders[depth].Word(i) & open; holders[depth] == 0 {
			break
		}
		depth++
	}
	if q.best != nil && q.k.run*q.c.least[i]+prefill[depth]*minPace+base >= q.bestCost {
		return
	}
	for ; open != 0; open &= open - 1 {
		bit := open & -open
		r := &q.c.rows[i<<6+bits.TrailingZeros64(open)]
		held := 0
		for held < depth && holders[held]&bit != 0 {
			held++
		}
		bound := q.k.run*r.slack + prefill[held]*r.reading + base + r.preference
		if q.best == nil || bound < q.bestCost {
			q.consider(r, held, prefill[held])
		}
	}
}

// consider compares an endpoint that has a number of the prompt's parts to the best so far.
// prefill is the time to read the others that counts.
func (q *search) consider(r *row, held int, prefill float64) {
	s, p := r.endpoint, q.p
	if !s.usable(q.now) || !p.eligible(q.now, s) || !q.room(s) || !s.fits(p.tokens) || !p.admits(q.now, s) {
		return
	}
	w := p.waits(q.now, &q.k, s, held)
	cost := w.sum() + r.preference + (prefill-q.k.prefill[held])*r.reading
	if slices.Contains(p.avoid, s.ID) {
		if q.fallback == nil || cost < q.fallbackCost {
			q.fallback, q.fallbackCost = s, cost
		}
		return
	}
	if q.best == nil || cost < q.bestCost {
		q.best, q.bestCost = s, cost
	}
}
