package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/throttle"
)

// hostPacers spaces this host's requests to plain endpoints that have a rate limit. These are
// placed by each host on its own, so each uses an equal share of the limit.
type hostPacers struct {
	// host is the name of this host. It spreads the moments at which hosts send.
	host string
	// limit returns the rate limit of an endpoint in requests per second; zero if it has
	// none.
	limit func(e *endpoint.Endpoint) float64
	// hosts returns how many hosts may be alive; zero if that is unknown.
	hosts func() int

	mu     sync.Mutex
	pacers map[string]*throttle.Pacer
}

func newHostPacers(host string, limit func(e *endpoint.Endpoint) float64, hosts func() int) *hostPacers {
	return &hostPacers{host: host, limit: limit, hosts: hosts, pacers: make(map[string]*throttle.Pacer)}
}

// take lets choose select one of the endpoints that take a request now, and counts the
// request. It returns nil if there are none, or choose returns nil.
func (p *hostPacers) take(now time.Time, endpoints []*endpoint.Endpoint, choose func([]*endpoint.Endpoint) *endpoint.Endpoint) *endpoint.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := endpoints
	for i, e := range endpoints {
		if pacer := p.pacer(now, e); pacer != nil && pacer.Due(now) == 0 {
			if len(open) == len(endpoints) {
				open = append([]*endpoint.Endpoint(nil), endpoints[:i]...)
			}
			continue
		}
		if len(open) != len(endpoints) {
			open = append(open, e)
		}
	}
	chosen := choose(open)
	if chosen != nil {
		p.count(now, chosen)
	}
	return chosen
}

// reserve takes the next request of the endpoint that takes one first, and returns the time
// until then. If that is longer than the given maximum, it reserves none and returns nil.
func (p *hostPacers) reserve(now time.Time, endpoints []*endpoint.Endpoint, longest time.Duration) (*endpoint.Endpoint, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first *endpoint.Endpoint
	var wait time.Duration
	for _, e := range endpoints {
		d := time.Duration(0)
		if pacer := p.pacer(now, e); pacer != nil {
			d = pacer.Wait(now)
		}
		if first == nil || d < wait {
			first, wait = e, d
		}
	}
	if first == nil || wait > longest {
		return nil, wait
	}
	p.count(now, first)
	return first, wait
}

// forget drops the pacer of an endpoint that was removed.
func (p *hostPacers) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pacers, id)
}

// count counts a request. The caller holds mu.
func (p *hostPacers) count(now time.Time, e *endpoint.Endpoint) {
	if pacer := p.pacer(now, e); pacer != nil {
		pacer.Take(now)
	}
}

// pacer returns the pacer of an endpoint, or nil if it has no limit. The caller holds mu.
func (p *hostPacers) pacer(now time.Time, e *endpoint.Endpoint) *throttle.Pacer {
	limit := p.limit(e)
	if limit == 0 {
		delete(p.pacers, e.ID)
		return nil
	}
	share := 0.0
	if n := p.hosts(); n > 0 {
		share = 1 / float64(n)
	}
	pacer := p.pacers[e.ID]
	if pacer == nil {
		phase := float64(xxhash.Sum64String(p.host+"/"+e.ID)) / (1 << 64)
		pacer = throttle.NewPacer(now, limit, share, phase)
		p.pacers[e.ID] = pacer
	}
	pacer.SetRate(now, limit, share)
	return pacer
}
