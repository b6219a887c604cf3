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
}

// New returns a Balancer for a host in an availability zone. regions maps zones to
// regions.
func New(zone string, regions map[string]string) *Balancer {
	return &Balancer{
		zone:           zone,
		regions:        regions,
		inFlight:       make(map[string]int),
		penalizedUntil: make(map[string]time.Time),
	}
}

// Choose returns the endpoint of the lowest cost, or nil if all are to be avoided. The
// endpoint counts as having a request in progress until Done is called.
func (b *Balancer) Choose(now time.Time, endpoints []*endpoint.Endpoint, avoid func(id string) bool) *endpoint.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *endpoint.Endpoint
	var bestCost float64
	for _, e := range endpoints {
		if avoid(e.ID) {
			continue
		}
		if cost := b.cost(now, e); best == nil || cost < bestCost {
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

// Done ends a request to an endpoint, and applies a penalty. None ends any penalty of the
// endpoint; a shorter penalty doesn't shorten a longer one.
func (b *Balancer) Done(now time.Time, id string, p Penalty) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight[id]--; b.inFlight[id] <= 0 {
		delete(b.inFlight, id)
	}
	if p == None {
		delete(b.penalizedUntil, id)
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
}

// Forget drops the penalty of an endpoint that was removed.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.penalizedUntil, id)
}
