package limit

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/objects"
)

// KindDemand is the kind of gossip entries that hold Published.
const KindDemand gossip.Kind = "demand"

// exchangeInterval is the time between exchanges of demand.
const exchangeInterval = 500 * time.Millisecond

// Options are what a Limiter is made of.
type Options struct {
	Host  string
	Store *gossip.Store
	// Hosts returns the names of the entries that are live.
	Hosts      func() []string
	Registerer prometheus.Registerer
}

// Limiter bounds customers' requests. It is safe for concurrent use and a
// suture service, which exchanges the demand.
type Limiter struct {
	opts    Options
	refused prometheus.Counter

	mu    sync.Mutex
	state *State
}

// New returns a Limiter.
func New(opts Options) *Limiter {
	l := &Limiter{opts: opts, state: NewState()}
	l.refused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "peridotmount_limit_refusals_total",
		Help: "Requests refused because the customer's rate or requests in progress are at their bound.",
	})
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(l.refused)
	}
	return l
}

// Acquire admits a request, to be released when it ends, or tells when the
// customer may come back.
func (l *Limiter) Acquire(c *objects.Customer, _ objects.Class) (release func(), retryAfter time.Duration, ok bool) {
	b := &Bound{Customer: c.Name, PerSecond: float64(c.RequestsPerSecond), InFlight: c.MaxInFlight}
	l.mu.Lock()
	retryAfter, ok = l.state.Acquire(time.Now(), b)
	l.mu.Unlock()
	if !ok {
		l.refused.Inc()
		return nil, retryAfter, false
	}
	var once sync.Once
	return func() { once.Do(func() { l.release(c.Name) }) }, 0, true
}

func (l *Limiter) release(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Release(time.Now(), customer)
}

// Serve implements suture.Service.
func (l *Limiter) Serve(ctx context.Context) error {
	return clock.Every(ctx, exchangeInterval, func(now time.Time) {
		l.exchange(now)
	})
}

// exchange publishes this entry's demand and applies that of the live others.
func (l *Limiter) exchange(now time.Time) {
	hosts := l.opts.Hosts()
	live := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		live[h] = h != l.opts.Host
	}
	var others []Published
	for _, e := range l.opts.Store.All(KindDemand) {
		var p Published
		// An entry of another release that cannot be read is no demand.
		if live[e.Origin] && json.Unmarshal(e.Data, &p) == nil {
			others = append(others, p)
		}
	}
	l.mu.Lock()
	l.state.SetEntries(len(hosts))
	l.state.SetOthers(others)
	own := l.state.Publish(now)
	l.mu.Unlock()
	// Names and numbers always encode.
	data, _ := json.Marshal(own)
	l.opts.Store.Publish(KindDemand, "entry", gossip.ScopeGlobal, data)
}
