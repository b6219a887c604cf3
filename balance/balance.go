// Package balance chooses endpoints for requests to plain services. These have spare
// capacity, so that a host decides by its own requests in progress alone.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

// Penalty is how long an endpoint is not chosen while others are available.
type Penalty time.Duration

// Penalties of endpoints.
const (
	None Penalty = 0
	// Slow is for endpoints that were full, or slower than another one. Such states
	// last for some hundred milliseconds.
	Slow = Penalty(400 * time.Millisecond)
	// Failed is for endpoints that failed: about the interval between two records of
	// a live endpoint.
	Failed = Penalty(1500 * time.Millisecond)
)

// Balancer chooses endpoints by load, distance and recent failures. It is safe for
// concurrent use.
type Balancer struct {
	zone    string
	regions map[string]string

	mu             sync.Mutex
	inFlight       map[string]int
	penalizedUntil map[string]time.Time
	// erring are the endpoints whose last answers to this host were server errors.
	erring map[string]serverErrors
}

// serverErrors are the server errors in a row of an endpoint.
type serverErrors struct {
	count int
	// until is the end of the time in which the endpoint is avoided, last when it answered last.
	until, last time.Time
}

// errorMemory is how long a request that can't be repeated avoids an endpoint after its last server
// error, if no request succeeded there.
const errorMemory = 10 * time.Second

// errorPauses are how long endpoints are avoided after one, two and more server errors in a row. The
// last one lets a recovered endpoint back within two seconds.
var errorPauses = [...]time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond}

// maxErringShare is the largest part of the endpoints that is avoided for server errors as if they
// had failed: beyond that, requests are likely to be the cause.
const maxErringShare = 1.0 / 3

// New returns a Balancer for a host in an availability zone. regions maps zones to
// regions.
func New(zone string, regions map[string]string) *Balancer {
	return &Balancer{
		zone:           zone,
		regions:        regions,
		inFlight:       make(map[string]int),
		penalizedUntil: make(map[string]time.Time),
		erring:         make(map[string]serverErrors),
	}
}

// Choose returns the endpoint of the lowest cost, or nil if all are to be avoided. The
// endpoint counts as having a request in progress until Done is called.
func (b *Balancer) Choose(now time.Time, endpoints []*endpoint.Endpoint, avoid func(id string) bool) *endpoint.Endpoint {
	return b.choose(now, endpoints, avoid, false)
}

// ChooseOnce is Choose for a request that can't be repeated: endpoints whose last answer was a server
// error come last.
func (b *Balancer) ChooseOnce(now time.Time, endpoints []*endpoint.Endpoint, avoid func(id string) bool) *endpoint.Endpoint {
	return b.choose(now, endpoints, avoid, true)
}

func (b *Balancer) choose(now time.Time, endpoints []*endpoint.Endpoint, avoid func(id string) bool, once bool) *endpoint.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *endpoint.Endpoint
	var bestCost float64
	for _, e := range endpoints {
		if avoid(e.ID) {
			continue
		}
		cost := b.cost(now, e)
		if len(b.erring) > 0 {
			cost += b.errorCost(now, e.ID, endpoints, once)
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best != nil {
		b.inFlight[best.ID]++
	}
	return best
}

// Costs relative to the load of an endpoint, which is 1 if all its slots are in use. A
// full endpoint costs more than a distant one, and one with a penalty more than both.
// costRegion includes costZone.
const (
	costZone      = 0.5
	costRegion    = 0.75
	costFull      = 4
	costPenalized = 100
	costJitter    = 0.01
)

func (b *Balancer) cost(now time.Time, e *endpoint.Endpoint) float64 {
	load := float64(b.inFlight[e.ID]) / float64(max(1, e.Slots))
	cost := load + costJitter*rand.Float64()
	if e.Zone != b.zone {
		cost += costZone
	}
	if b.regions[e.Zone] != b.regions[b.zone] {
		cost += costRegion - costZone
	}
	if load >= 1 {
		cost += costFull
	}
	if now.Before(b.penalizedUntil[e.ID]) {
		cost += costPenalized
	}
	return cost
}

// errorCost returns the cost of the server errors of an endpoint. After the first one, and for more than
// maxErringShare of the endpoints, it is that of a full one, so that an endpoint that fails at once is
// not preferred for its free slots.
func (b *Balancer) errorCost(now time.Time, id string, endpoints []*endpoint.Endpoint, once bool) float64 {
	e, found := b.erring[id]
	if !found || now.Sub(e.last) >= errorMemory {
		return 0
	}
	switch {
	case !now.Before(e.until) && !once:
		return 0
	case e.count == 1 && !once:
		return costFull
	}
	worse := 0
	for _, other := range endpoints {
		o := b.erring[other.ID]
		if other.ID != id && now.Before(o.until) && (o.count > e.count || (o.count == e.count && other.ID < id)) {
			worse++
		}
	}
	if worse+1 > int(maxErringShare*float64(len(endpoints))) {
		return costFull
	}
	return costPenalized
}

// Errored ends a request to an endpoint that ran it and answered with a server error. It returns how many
// of these came in a row, and for how long the endpoint is avoided.
func (b *Balancer) Errored(now time.Time, id string) (inARow int, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(id)
	e := b.erring[id]
	if now.Sub(e.last) >= errorMemory {
		e.count = 0
	}
	e.count++
	e.last = now
	pause = errorPauses[min(e.count, len(errorPauses))-1]
	e.until = now.Add(pause)
	b.erring[id] = e
	return e.count, pause
}

// end ends a request to an endpoint. Called with mu locked.
func (b *Balancer) end(id string) {
	if b.inFlight[id]--; b.inFlight[id] <= 0 {
		delete(b.inFlight, id)
	}
}

// Done ends a request to an endpoint, and applies a penalty. None ends any penalty of the
// endpoint; a shorter penalty doesn't shorten a longer one.
func (b *Balancer) Done(now time.Time, id string, p Penalty) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(id)
	if p == None {
		delete(b.penalizedUntil, id)
		delete(b.erring, id)
		return
	}
	if until := now.Add(time.Duration(p)); until.After(b.penalizedUntil[id]) {
		b.penalizedUntil[id] = until
	}
}

// Reset ends all penalties: the host that gave them had lost its links to all endpoints.
func (b *Balancer) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.penalizedUntil)
	clear(b.erring)
}

// Forget drops the penalty of an endpoint that was removed.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.penalizedUntil, id)
	delete(b.erring, id)
}
