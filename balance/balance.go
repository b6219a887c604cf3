// Package balance chooses the endpoints of plain services: those have room to
// spare, so that a host decides by what it has in progress itself.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

// Penalty is how long an endpoint is passed over while others are there.
type Penalty time.Duration

// Penalties of endpoints.
const (
	None Penalty = 0
	// Slow endpoints were full, or slower than another: such spells last for some
	// hundred milliseconds.
	Slow = Penalty(400 * time.Millisecond)
	// Broken ones could not be used: about the time between two records of a live
	// endpoint.
	Broken = Penalty(1500 * time.Millisecond)
)

// Balancer chooses endpoints. It is safe for concurrent use.
type Balancer struct {
	zone   string
	region map[string]string

	mu       sync.Mutex
	inFlight map[string]int
	shunned  map[string]time.Time
}

// New returns a Balancer for a host in an availability zone; regions maps zones
// to regions.
func New(zone string, regions map[string]string) *Balancer {
	return &Balancer{
		zone:     zone,
		region:   regions,
		inFlight: make(map[string]int),
		shunned:  make(map[string]time.Time),
	}
}

// Choose returns the best of the endpoints, or nil if there is none but those to
// avoid. It counts the endpoint as used until Done.
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

// Costs in slots in use: an endpoint that is full is worse than a far one, and
// one that failed is worse than both.
const (
	costZone    = 0.5
	costRegion  = 0.75
	costFull    = 4
	costShunned = 100
	costJitter  = 0.01
)

func (b *Balancer) cost(now time.Time, e *endpoint.Endpoint) float64 {
	load := float64(b.inFlight[e.ID]) / float64(max(1, e.Slots))
	cost := load + costJitter*rand.Float64()
	if e.Zone != b.zone {
		cost += costZone
	}
	if b.region[e.Zone] != b.region[b.zone] {
		cost += costRegion - costZone
	}
	if load >= 1 {
		cost += costFull
	}
	if now.Before(b.shunned[e.ID]) {
		cost += costShunned
	}
	return cost
}

// Done gives an endpoint back, with its penalty.
func (b *Balancer) Done(now time.Time, id string, p Penalty) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight[id]--; b.inFlight[id] <= 0 {
		delete(b.inFlight, id)
	}
	if p == None {
		delete(b.shunned, id)
		return
	}
	if until := now.Add(time.Duration(p)); until.After(b.shunned[id]) {
		b.shunned[id] = until
	}
}

// Forget drops what is known of an endpoint that is gone.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.shunned, id)
}
