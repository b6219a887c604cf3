package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/routing"
)

// downFor is how long an endpoint that could not be reached is passed over.
const downFor = time.Second

// enginePool is the pool of all model engines; the others are named after their
// plain service.
const enginePool = ""

// router keeps a routing table for each pool of endpoints and makes them safe
// for concurrent use.
type router struct {
	view func() *membership.View
	opts routing.Options

	mu    sync.Mutex
	seen  *membership.View
	pools map[string]*routing.Table
	down  map[string]time.Time
}

func newRouter(view func() *membership.View, opts routing.Options) *router {
	return &router{
		view:  view,
		opts:  opts,
		pools: make(map[string]*routing.Table),
		down:  make(map[string]time.Time),
	}
}

// refresh applies a new view. The caller holds mu.
func (r *router) refresh() {
	view := r.view()
	if view == r.seen {
		return
	}
	r.seen = view
	r.table(enginePool).SetHosts(view.Engines())
	services := make(map[string]bool)
	for i := range view.Hosts {
		if view.Hosts[i].Role == platform.RolePlain {
			services[view.Hosts[i].Service] = true
		}
	}
	for name := range r.pools {
		if name != enginePool && !services[name] {
			delete(r.pools, name)
		}
	}
	for name := range services {
		r.table(name).SetHosts(view.Plain(name))
	}
	for name := range r.down {
		if _, found := view.ByName(name); !found {
			delete(r.down, name)
		}
	}
}

func (r *router) table(pool string) *routing.Table {
	t := r.pools[pool]
	if t == nil {
		opts := r.opts
		opts.Seed += uint64(len(r.pools))
		t = routing.NewTable(opts)
		r.pools[pool] = t
	}
	return t
}

func (r *router) choose(pool string, q *routing.Query) (routing.Choice, bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	usable := q.Usable
	q.Usable = func(name string) bool {
		return now.After(r.down[name]) && (usable == nil || usable(name))
	}
	defer func() { q.Usable = usable }()
	return r.table(pool).Choose(now, q)
}

// random chooses without regard to anything but what q excludes.
func (r *router) random(pool string, q *routing.Query) (routing.Choice, bool) {
	view := r.view()
	hosts := view.Engines()
	if pool != enginePool {
		hosts = view.Plain(pool)
	}
	var open []platform.Host
	for _, h := range hosts {
		if !contains(q.Exclude, h.Name) {
			open = append(open, h)
		}
	}
	if len(open) == 0 {
		return routing.Choice{}, false
	}
	return routing.Choice{Host: open[rand.IntN(len(open))]}, true
}

func (r *router) sent(pool, endpoint string, class objects.Class, prompt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(pool).Sent(endpoint, class, prompt)
}

func (r *router) done(pool, endpoint string, class objects.Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(pool).Done(endpoint, class)
}

// measured records times of a stream in progress and returns the time between
// tokens that is typical of the pool, or 0.
func (r *router) measured(pool, endpoint string, times admission.Times) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(pool)
	t.Measured(time.Now(), endpoint, times)
	return t.TypicalToken()
}

// unreachable passes an endpoint over for a while.
func (r *router) unreachable(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[endpoint] = time.Now().Add(downFor)
}

func (r *router) report(load *admission.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.pools {
		t.Report(time.Now(), load)
	}
}

func (r *router) reportZone(zone string, load *admission.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(enginePool).ReportZone(zone, load)
}

func (r *router) typicalFirstToken() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(enginePool).TypicalFirstToken()
}

func (r *router) typicalToken() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(enginePool).TypicalToken()
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
