package gateway

import (
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/origin"
)

// maxToldListAge is how old the list of endpoints may be by which a host tells others that a service has
// no further version: some reads of a large deployment.
const maxToldListAge = 5 * time.Second

// origins holds which software version began a stream, as far as this host knows. Its methods
// are safe for concurrent use.
type origins struct {
	// readUntil returns the time, by package clock, up to which all records of endpoints were read.
	readUntil func() time.Time

	mu      sync.Mutex
	table   *origin.Table
	history *origin.History
}

func newOrigins(readUntil func() time.Time) *origins {
	return &origins{readUntil: readUntil, table: origin.NewTable(), history: origin.NewHistory()}
}

// Begun records that this host received the first event of a stream, from an endpoint of a
// version.
func (o *origins) Begun(request, version string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(clock.Now(), request, version)
}

// Version implements slots.Origins. A stream that is not known was begun by the one version that
// serves, if there has been no other for long, and the list of endpoints was read since the stream
// was asked for: a host that stood still, or was cut off from the store, may not have read of the
// version that began it.
func (o *origins) Version(service, request string, asked time.Time) (b origin.Beginning, known bool) {
	// Before the lock: the follower calls Observe with its own lock held.
	readUntil := o.readUntil()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := clock.Now()
	if b, known = o.table.Lookup(now, request); known {
		return b, true
	}
	if readUntil.Before(asked) {
		return origin.Beginning{}, false
	}
	version, known := o.history.Only(now, service)
	return origin.Beginning{Version: version, Source: origin.Only}, known
}

// Single reports whether a service has had a single version for as long as streams can go on.
func (o *origins) Single(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, single := o.history.Only(clock.Now(), service)
	return single
}

// BegunHere returns the beginning of the stream of a request, if this host received its first event.
func (o *origins) BegunHere(request string) (b origin.Beginning, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.LookupOwn(clock.Now(), request)
}

// Recorded returns the beginning of the stream of a request, if this host has a record of it.
// Which versions serve, the scheduler knows better: it may have read more endpoints.
func (o *origins) Recorded(request string) (b origin.Beginning, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Lookup(clock.Now(), request)
}

// Observe records the endpoints that are listed.
func (o *origins) Observe(endpoints []endpoint.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Observe(clock.Now(), endpoints)
}

// ObserveRecord records an endpoint of which a record was read, in case it is gone before the next list.
func (o *origins) ObserveRecord(e *endpoint.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.ObserveRecord(clock.Now(), e)
}

// Miss records that endpoints may have come and gone without a record that was read.
func (o *origins) Miss() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Miss(clock.Now())
}

// AddNoted records which services have several versions, as others knew before this host started.
func (o *origins) AddNoted(services map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.AddNoted(services)
}

// Informed reports whether Several names all services that have several versions. A host that was cut
// off from the store may have missed some.
func (o *origins) Informed() bool {
	readUntil := o.readUntil()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := clock.Now()
	return now.Sub(readUntil) <= maxToldListAge && o.history.Informed(now)
}

// Missed reports whether streams may go on of endpoints that came and went without a record that was
// read.
func (o *origins) Missed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.Missed(clock.Now())
}

// Several returns the services that have several versions.
func (o *origins) Several() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.Several(clock.Now())
}

// All implements slots.Origins.
func (o *origins) All() []origin.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.All(clock.Now())
}

// Merge implements slots.Origins.
func (o *origins) Merge(from string, told origin.Batch) origin.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Merge(clock.Now(), from, told)
}
