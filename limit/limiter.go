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

// KindDemand is the kind of gossip entries that hold a DemandReport.
const KindDemand gossip.Kind = "demand"

// exchangeInterval is the time between two publications of the demand.
const exchangeInterval = 500 * time.Millisecond

// Options configures a Limiter.
type Options struct {
	Host  string
	Store *gossip.Store
	// Hosts returns the names of the live hosts.
	Hosts      func() []string
	Registerer prometheus.Registerer
}

// Limiter limits customers' requests. It is safe for concurrent use. As a suture
// service it exchanges the demand with the other hosts.
type Limiter struct {
	opts    Options
	refused prometheus.Counter

	mu    sync.Mutex
	state *State
}

// New returns a Limiter and registers its metric with opts.Registerer, if there is
// one.
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

// Acquire admits a request and returns release, to be called when the request ends;
// calls after the first have no effect. If the request is over the limit, it returns
// the time after which the customer may retry.
func (l *Limiter) Acquire(c *objects.Customer, _ objects.Class) (release func(), retryAfter time.Duration, ok bool) {
	b := &Bound{Customer: c.Name, RequestsPerSecond: float64(c.RequestsPerSecond), MaxInFlight: c.MaxInFlight}
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

// exchange applies the demand of the other live hosts and publishes that of this
// host.
func (l *Limiter) exchange(now time.Time) {
	hosts := l.opts.Hosts()
	live := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		live[h] = h != l.opts.Host
	}
	var reports []DemandReport
	for _, e := range l.opts.Store.All(KindDemand) {
		var report DemandReport
		// A report that cannot be decoded, from a host of another release, counts as
		// no demand.
		if live[e.Origin] && json.Unmarshal(e.Data, &report) == nil {
			reports = append(reports, report)
		}
	}
	l.mu.Lock()
	l.state.SetHostCount(len(hosts))
	l.state.SetOtherDemand(reports)
	own := l.state.ReportDemand(now)
	l.mu.Unlock()
	// A DemandReport holds only strings and finite numbers, so encoding cannot fail.
	data, _ := json.Marshal(own)
	l.opts.Store.Publish(KindDemand, "entry", gossip.ScopeGlobal, data)
}
