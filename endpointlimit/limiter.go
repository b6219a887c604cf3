package endpointlimit

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/throttle"
)

// KindLimits is the kind of gossip entries that hold the limits which endpoints named to a host.
const KindLimits gossip.Kind = "endpoint-limits"

// exchangeInterval is the time between two exchanges of limits with the other hosts.
const exchangeInterval = 200 * time.Millisecond

// Options configures a Limiter.
type Options struct {
	Host  string
	Store *gossip.Store
	// Hosts returns the names of the hosts that may be alive.
	Hosts func() []string
	// View returns the endpoints.
	View   func() *membership.View
	Logger log.Logger
	// Registerer registers the metric; nil registers none.
	Registerer prometheus.Registerer
}

// Limiter limits the requests of this host to each endpoint. It is safe for concurrent use. As a
// suture service it exchanges limits with the other hosts.
type Limiter struct {
	opts    Options
	refused prometheus.Counter

	mu     sync.Mutex
	table  *throttle.Table
	pacers map[string]*throttle.Pacer
	// named are the limits that endpoints named to this host, by endpoint; zero if they ended.
	named map[string]throttle.Notice
	// published and applied are the entries last published, and last applied of each origin.
	published string
	applied   map[string]string
	// view is the view that byAddress was made from.
	view      *membership.View
	byAddress map[string]*platform.Host
}

// New returns a Limiter.
func New(o Options) *Limiter {
	l := &Limiter{
		opts: o, table: throttle.NewTable(), pacers: make(map[string]*throttle.Pacer),
		named: make(map[string]throttle.Notice), applied: make(map[string]string),
	}
	l.refused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "peridotmount_endpoint_limit_refusals_total",
		Help: "Calls that this host did not send because the rate limit of their endpoint was reached.",
	})
	if o.Registerer != nil {
		o.Registerer.MustRegister(l.refused)
	}
	return l
}

// Admits reports whether an endpoint takes a request of this host now.
func (l *Limiter) Admits(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, found := l.opts.View().ByName(name)
	if !found {
		return true
	}
	p := l.pacer(clock.Now(), &h)
	return p == nil || p.Due(clock.Now()) > 0
}

// String returns the name of the service in the supervisor's log.
func (l *Limiter) String() string {
	return "rate limits of endpoints"
}

// Serve implements suture.Service.
func (l *Limiter) Serve(ctx context.Context) error {
	return clock.Every(ctx, exchangeInterval, func(time.Time) { l.exchange() })
}

// exchange applies the limits that endpoints named to other hosts, and publishes those that they
// named to this one. An entry is applied once: its age is not known, and an older one must not
// bring back what has ended.
func (l *Limiter) exchange() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	for _, e := range l.opts.Store.All(KindLimits) {
		if e.Origin == l.opts.Host || l.applied[e.Origin] == string(e.Data) {
			continue
		}
		l.applied[e.Origin] = string(e.Data)
		var notices []throttle.Notice
		if err := json.Unmarshal(e.Data, &notices); err != nil {
			_ = level.Warn(l.opts.Logger).Log("event", "endpoint_limits_unreadable", "origin", e.Origin, "err", err)
			continue
		}
		for _, n := range notices {
			if l.table.Merge(now, n) {
				l.log(n.Endpoint, n.Rate, "told")
			}
		}
	}
	known := func(id string) bool { _, found := l.opts.View().ByName(id); return found }
	l.table.Expire(now, known)
	notices := make([]throttle.Notice, 0, len(l.named))
	for name, n := range l.named {
		if !known(name) {
			delete(l.named, name)
			delete(l.pacers, name)
			continue
		}
		notices = append(notices, n)
	}
	throttle.SortNotices(notices)
	// Encoding can't fail: notices hold text, numbers and times.
	data, _ := json.Marshal(notices)
	if string(data) != l.published {
		l.published = string(data)
		l.opts.Store.Publish(KindLimits, "endpoints", gossip.ScopeGlobal, data)
	}
}

// answered records what the answer to a call, sent at the given time, says of its endpoint.
func (l *Limiter) answered(h *platform.Host, sent time.Time, header http.Header) {
	perSecond, named := platform.RateLimit(header)
	i := incarnation(h)
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	if named {
		perSecond = max(perSecond, throttle.MinRate)
		changed = l.table.Name(clock.Now(), i, perSecond)
	} else {
		changed = l.table.End(sent, i)
	}
	if changed {
		l.named[h.Name] = throttle.Notice{Endpoint: i, Rate: perSecond}
		l.log(i, perSecond, "answer")
	}
}

func (l *Limiter) log(i endpoint.Incarnation, perSecond float64, heard string) {
	_ = level.Info(l.opts.Logger).Log("event", "endpoint_limit", "endpoint", i.ID, "per_second", perSecond, "heard", heard)
}

// take counts a call to an endpoint and reports whether it may be sent. Calls that end work are
// counted, but never kept back.
func (l *Limiter) take(h *platform.Host, endsWork bool) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	p := l.pacer(now, h)
	if p == nil {
		return 0, true
	}
	if !endsWork && p.Due(now) == 0 {
		l.refused.Inc()
		return p.Wait(now), false
	}
	p.Take(now)
	return 0, true
}

// pacer returns the pacer of an endpoint of the present view, or nil if it has no limit. The caller
// holds mu.
func (l *Limiter) pacer(now time.Time, h *platform.Host) *throttle.Pacer {
	l.table.Begin(incarnation(h))
	limit := l.table.Rate(incarnation(h))
	if limit == 0 {
		delete(l.pacers, h.Name)
		return nil
	}
	share := 1 / float64(max(1, len(l.opts.Hosts())))
	p := l.pacers[h.Name]
	if p == nil {
		phase := float64(xxhash.Sum64String(l.opts.Host+"/"+h.Name)) / (1 << 64)
		p = throttle.NewPacer(now, limit, share, phase)
		l.pacers[h.Name] = p
	}
	p.SetRate(now, limit, share)
	return p
}

// endpointAt returns the endpoint with an address, or nil.
func (l *Limiter) endpointAt(address string) *platform.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	if view := l.opts.View(); view != l.view {
		l.view = view
		l.byAddress = make(map[string]*platform.Host)
		for i := range view.Hosts {
			h := &view.Hosts[i]
			if u, err := url.Parse(h.Address); err == nil && h.Role != platform.RoleSystem {
				l.byAddress[u.Host] = h
			}
		}
	}
	return l.byAddress[address]
}

func incarnation(h *platform.Host) endpoint.Incarnation {
	return endpoint.Incarnation{ID: h.Name, Started: time.UnixMilli(h.Incarnation).UTC()}
}
