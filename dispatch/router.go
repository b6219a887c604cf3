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

// exclusionPeriod is how long an endpoint is excluded after it was unreachable or
// reported that it is leaving.
const exclusionPeriod = time.Second

// enginePool is the name of the pool of all model engines; each other pool has the
// name of its plain service.
const enginePool = ""

// router holds a routing table per pool of endpoints. It is safe for concurrent
// use.
type router struct {
	view func() *membership.View
	opts routing.Options
	// admits is Options.Admits.
	admits func(endpoint string) bool

	mu            sync.Mutex
	appliedView   *membership.View
	pools         map[string]*routing.Table
	excludedUntil map[string]time.Time
}

func newRouter(view func() *membership.View, admits func(endpoint string) bool, opts routing.Options) *router {
	return &router{
		view:          view,
		admits:        admits,
		opts:          opts,
		pools:         make(map[string]*routing.Table),
		excludedUntil: make(map[string]time.Time),
	}
}

// refresh applies the current view to the tables if it has changed. The caller
// holds mu.
func (r *router) refresh() {
	view := r.view()
	if view == r.appliedView {
		return
	}
	r.appliedView = view
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
	for name := range r.excludedUntil {
		if _, found := view.ByName(name); !found {
			delete(r.excludedUntil, name)
		}
	}
}

// table returns the table of a pool and creates it if needed. The caller holds mu.
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
		return now.After(r.excludedUntil[name]) && (usable == nil || usable(name)) && (r.admits == nil || r.admits(name))
	}
	defer func() { q.Usable = usable }()
	return r.table(pool).Choose(now, q)
}

// random returns a random endpoint that q does not exclude by name.
func (r *router) random(pool string, q *routing.Query) (routing.Choice, bool) {
	view := r.view()
	hosts := view.Engines()
	if pool != enginePool {
		hosts = view.Plain(pool)
	}
	var candidates []platform.Host
	for _, h := range hosts {
		if !contains(q.Exclude, h.Name) && (q.SoftwareVersion == nil || *q.SoftwareVersion == h.SoftwareVersion) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return routing.Choice{}, false
	}
	return routing.Choice{Host: candidates[rand.IntN(len(candidates))]}, true
}

func (r *router) recordSent(pool, endpoint string, class objects.Class, prompt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(pool).RecordSent(endpoint, class, prompt)
}

func (r *router) recordDone(pool, endpoint string, class objects.Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(pool).RecordDone(endpoint, class)
}

// recordTimes records times of a stream and returns the pool's median time between
// tokens, or 0 if it is unknown.
func (r *router) recordTimes(pool, endpoint string, times admission.Times) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(pool)
	t.RecordTimes(time.Now(), endpoint, times)
	return t.MedianToken()
}

// exclude excludes an endpoint for exclusionPeriod.
func (r *router) exclude(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excludedUntil[endpoint] = time.Now().Add(exclusionPeriod)
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

func (r *router) medianFirstToken() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(enginePool).MedianFirstToken()
}

func (r *router) medianToken() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(enginePool).MedianToken()
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
