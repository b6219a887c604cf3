package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/platform"
)

// endpointTick is the time between two looks for endpoints whose grace is over.
const endpointTick = 200 * time.Millisecond

// heardBy names in metrics how a host heard that an endpoint leaves.
var heardBy = map[endpoint.Reason]string{endpoint.ReasonAnswer: "answer", endpoint.ReasonRelayed: "told"}

// endpoints drives the table of endpoints.
type endpoints struct {
	logger log.Logger
	// changed is called with each new view and what changed.
	changed func(*endpoint.View, []endpoint.Change)
	// origins is told which endpoints are listed.
	origins *origins
	// started is asked to open with the first listing.
	started *starting
	// standstills tells when the host last stood still.
	standstills standstills
	// leaving counts the endpoints that said in an answer that they leave.
	leaving *prometheus.CounterVec

	mu    sync.Mutex
	table *endpoint.Table
	// foundAt is when an endpoint was last found that was not known, by package clock.
	foundAt time.Time
	view    atomic.Pointer[endpoint.View]
	// listed tells that the whole list was read once.
	listed atomic.Bool
}

func newEndpoints(logger log.Logger, r prometheus.Registerer, o *origins, changed func(*endpoint.View, []endpoint.Change)) *endpoints {
	e := &endpoints{logger: logger, changed: changed, origins: o, table: endpoint.NewTable()}
	e.leaving = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "peridotmount_endpoints_leaving_total",
		Help: "Endpoints that said in an answer that they leave, before their record did: to this host (answer) or to another (told).",
	}, []string{"heard"})
	r.MustRegister(e.leaving)
	e.view.Store(endpoint.NewView(nil))
	return e
}

// View returns the endpoints known.
func (e *endpoints) View() *endpoint.View {
	return e.view.Load()
}

// Listed implements follow.Handler.
func (e *endpoints) Listed(now time.Time, records []platform.KeyedRecord, end int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make(map[string]bool, len(records))
	var changes []endpoint.Change
	if e.listed.Load() {
		// The records since the last read were trimmed.
		e.origins.Miss()
	}
	for i := range records {
		listed[records[i].Key] = !records[i].Deletes()
		changes = append(changes, e.apply(now, &records[i])...)
	}
	changes = append(changes, e.table.ApplyListing(now, end, func(id string) bool { return listed[id] })...)
	e.publish(changes)
	e.listed.Store(true)
	e.started.check()
}

// Changed implements follow.Handler.
func (e *endpoints) Changed(now time.Time, records []platform.KeyedRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var changes []endpoint.Change
	for i := range records {
		changes = append(changes, e.apply(now, &records[i])...)
	}
	e.noteFound(now, changes)
	e.publish(changes)
}

// noteFound notes the time if one of the changes is an endpoint that was not known, or has
// started again. Called with mu locked.
func (e *endpoints) noteFound(now time.Time, changes []endpoint.Change) {
	found := func(c endpoint.Change) bool {
		return c.After != nil && (c.Before == nil || !c.Before.Incarnation().Started.Equal(c.After.Incarnation().Started))
	}
	if slices.ContainsFunc(changes, found) {
		e.foundAt = now
	}
}

// Changing reports whether an endpoint was found, or has started again, within
// endpointFoundPeriod.
func (e *endpoints) Changing(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.foundAt.IsZero() && now.Sub(e.foundAt) < endpointFoundPeriod
}

func (e *endpoints) apply(now time.Time, r *platform.KeyedRecord) []endpoint.Change {
	if r.Deletes() {
		return e.table.Remove(now, r.Offset, r.Key)
	}
	decoded, err := platform.DecodeEndpoint(*r)
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "endpoint_unreadable", "endpoint", r.Key, "offset", r.Offset, "err", err)
		return e.table.Remove(now, r.Offset, r.Key)
	}
	e.origins.ObserveRecord(&decoded)
	return e.table.Put(r.Offset, decoded)
}

// Leaves takes an endpoint's word, given in an answer to this host or to another, that
// it leaves; it reports whether that is new.
func (e *endpoints) Leaves(i endpoint.Incarnation, reason endpoint.Reason) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	changes := e.table.AnnounceLeaving(clock.Now(), i, reason)
	if len(changes) > 0 {
		e.leaving.WithLabelValues(heardBy[reason]).Inc()
	}
	e.publish(changes)
	return len(changes) > 0
}

// Leaving returns the endpoints that said in an answer that they leave.
func (e *endpoints) Leaving() []endpoint.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Leaving()
}

// Current reports whether the records written up to a time include all that were written while this host
// last stood still.
func (e *endpoints) Current(complete time.Time) bool {
	return !complete.Before(e.standstills.ended(clock.Now()))
}

// TakesWork reports whether an endpoint is known and doesn't leave.
func (e *endpoints) TakesWork(id string) bool {
	found := e.View().Endpoint(id)
	return found != nil && found.State == endpoint.Ready
}

// Lost implements follow.Handler.
func (e *endpoints) Lost(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.StoreLost(now)
}

// Regained implements follow.Handler.
func (e *endpoints) Regained(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.StoreRegained(now)
}

// String names the service to its supervisor.
func (e *endpoints) String() string {
	return "endpoints"
}

// Serve implements suture.Service.
func (e *endpoints) Serve(ctx context.Context) error {
	return clock.Every(ctx, endpointTick, func(time.Time) {
		e.standstills.tick(clock.Now())
		e.mu.Lock()
		e.publish(e.table.Tick(clock.Now()))
		e.origins.Observe(e.table.Endpoints())
		e.mu.Unlock()
	})
}

// publish replaces the view and says what changed.
func (e *endpoints) publish(changes []endpoint.Change) {
	if len(changes) == 0 {
		return
	}
	listed := e.table.Endpoints()
	e.origins.Observe(listed)
	view := endpoint.NewView(listed)
	e.view.Store(view)
	for i := range changes {
		e.log(&changes[i])
	}
	e.changed(view, changes)
}

func (e *endpoints) log(c *endpoint.Change) {
	switch {
	case c.After == nil:
		_ = level.Info(e.logger).Log("event", "endpoint_gone", "endpoint", c.Before.ID, "service", c.Before.Service, "reason", c.Reason)
	case c.Before == nil:
		_ = level.Info(e.logger).Log("event", "endpoint_found", "endpoint", c.After.ID, "service", c.After.Service,
			"address", c.After.Address, "version", c.After.Version, "endpoint_zone", c.After.Zone, "slots", c.After.Slots, "draining", c.After.State == endpoint.Draining)
	default:
		_ = level.Info(e.logger).Log("event", "endpoint_changed", "endpoint", c.After.ID, "service", c.After.Service,
			"draining", c.After.State == endpoint.Draining, "reason", c.Reason)
	}
}
