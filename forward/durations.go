package forward

import (
	"sync"
	"time"
)

const (
	// durationsKept is the number of requests of a route whose durations are kept, durationsAge
	// how long they are.
	durationsKept = 64
	durationsAge  = time.Minute
	// maxDurationRoutes bounds the routes whose durations are kept.
	maxDurationRoutes = 1024
)

// durations holds how long recent requests of each route took. Its methods are safe for
// concurrent use.
type durations struct {
	mu     sync.Mutex
	routes map[durationsKey]*routeDurations
}

// durationsKey names a route, and the service that served it.
type durationsKey struct {
	route, service string
}

// duration is how long one request took: total from its arrival, run from the time at which it
// was first passed on.
type duration struct {
	ended      time.Time
	total, run time.Duration
}

// routeDurations is a ring of the durations of one route.
type routeDurations struct {
	kept []duration
	next int
}

func newDurations() *durations {
	return &durations{routes: make(map[durationsKey]*routeDurations)}
}

// add adds the duration of a request that has ended.
func (d *durations) add(k durationsKey, one duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[k]
	if r == nil {
		d.makeRoom(one.ended)
		r = &routeDurations{}
		d.routes[k] = r
	}
	if len(r.kept) < durationsKept {
		r.kept = append(r.kept, one)
		return
	}
	r.kept[r.next] = one
	r.next = (r.next + 1) % durationsKept
}

// makeRoom forgets the routes that have had no requests for durationsAge if there are too many,
// or any one if all have.
func (d *durations) makeRoom(now time.Time) {
	if len(d.routes) < maxDurationRoutes {
		return
	}
	var last durationsKey
	for k, r := range d.routes {
		if known, _ := r.longest(now); known == 0 {
			delete(d.routes, k)
		}
		last = k
	}
	if len(d.routes) >= maxDurationRoutes {
		delete(d.routes, last)
	}
}

// longest returns how many requests of a route ended within durationsAge, and the longest total
// and run among them.
func (d *durations) longest(now time.Time, k durationsKey) (known int, longest duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.routes[k]; r != nil {
		return r.longest(now)
	}
	return 0, duration{}
}

func (r *routeDurations) longest(now time.Time) (known int, longest duration) {
	for _, one := range r.kept {
		if now.Sub(one.ended) <= durationsAge {
			known++
			longest.total, longest.run = max(longest.total, one.total), max(longest.run, one.run)
		}
	}
	return known, longest
}
