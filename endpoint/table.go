package endpoint

import (
	"sort"
	"time"
)

// LapseGrace is how long entries without a record in the store are retained after an outage
// of the store has ended. Endpoints whose records lapsed during the outage write them again
// within two seconds.
const LapseGrace = 2200 * time.Millisecond

// minLapseOutage is the shortest outage in which records are assumed to lapse. Records
// expire after three missed heartbeats of about a second each.
const minLapseOutage = time.Second

// Table is a host's view of the endpoints. It is a deterministic state machine without a
// clock; it is not safe for concurrent use.
//
// Invariants: an endpoint stops being used only if it announces its shutdown, a record
// removes it, or a complete listing doesn't contain it. While records may have lapsed in
// an outage of the store, only the endpoint's own announcement counts. An incarnation that
// has announced its shutdown in an answer never gets new work again, whatever its record
// says. A record of an earlier run than the one that writes changes nothing.
type Table struct {
	entries map[string]*entry
	// leaving holds, by endpoint id, the incarnations that announced their shutdown in an
	// answer. It is independent of entries, as records may lapse and be written again.
	leaving map[string]leavingIncarnation
	// runs holds, by endpoint id, its last runs. It is independent of entries, as records lapse.
	runs map[string]*runs
	// unreachableSince is when the store became unreachable, zero while it is reachable.
	unreachableSince time.Time
	// graceUntil is the end of the time after an outage in which missing entries are
	// retained.
	graceUntil time.Time
}

// entry is an endpoint and the offset of its newest record.
type entry struct {
	endpoint Endpoint
	offset   int64
	// missing means that the record is no longer in the store, but that the entry is
	// retained, as the record may have lapsed in an outage.
	missing bool
}

// leavingIncarnation is an incarnation that announced its shutdown in an answer, and when
// this was recorded.
type leavingIncarnation struct {
	incarnation Incarnation
	recordedAt  time.Time
}

// leavingRetention is how long a leavingIncarnation is kept for an endpoint without an
// entry. It is longer than any outage in which the record could lapse and be written again.
const leavingRetention = 10 * time.Minute

// Change is a change of one endpoint. Before is nil if the endpoint is new, After if it
// was removed.
type Change struct {
	Before, After *Endpoint
	// Reason is the cause of the change.
	Reason Reason
}

// Reason is the cause of a change.
type Reason string

// Causes of changes.
const (
	ReasonRecord  Reason = "record"
	ReasonRemoved Reason = "removed"
	ReasonAbsent  Reason = "absent from the listing"
	ReasonLapsed  Reason = "not back after an outage of the store"
	// ReasonAnswer means that the endpoint announced its shutdown in an answer to this
	// host, ReasonRelayed in an answer to another host.
	ReasonAnswer  Reason = "its answer says that it leaves"
	ReasonRelayed Reason = "another host was told that it leaves"
)

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{entries: make(map[string]*entry), leaving: make(map[string]leavingIncarnation), runs: make(map[string]*runs)}
}

// AnnounceLeaving applies an announcement of an endpoint, in an answer, that it is shutting
// down. The reason is ReasonAnswer or ReasonRelayed. The announcement is recorded also if
// the incarnation has no entry yet or any more, and ignored if the entry is of a later one.
func (t *Table) AnnounceLeaving(now time.Time, i Incarnation, reason Reason) []Change {
	old := t.entries[i.ID]
	// By the records, not by the clocks of the two runs: the endpoint's may have been set back.
	present := old != nil && old.endpoint.Started.Equal(i.Started)
	d, found := t.leaving[i.ID]
	switch {
	case found && d.incarnation.Started.Equal(i.Started):
		return nil
	case !present && found && i.Started.Before(d.incarnation.Started), !present && old != nil && i.Started.Before(old.endpoint.Started):
		return nil
	}
	t.leaving[i.ID] = leavingIncarnation{incarnation: i, recordedAt: now}
	if old == nil || old.endpoint.State == Draining || !old.endpoint.Started.Equal(i.Started) {
		return nil
	}
	before := old.endpoint
	old.endpoint.State = Draining
	after := old.endpoint
	return []Change{{Before: &before, After: &after, Reason: reason}}
}

// announcedLeaving reports whether an incarnation announced its shutdown in an answer.
func (t *Table) announcedLeaving(e *Endpoint) bool {
	d, found := t.leaving[e.ID]
	return found && d.incarnation.Started.Equal(e.Started)
}

// Leaving returns the incarnations that announced their shutdown in an answer and whose
// endpoint has an entry, sorted by id.
func (t *Table) Leaving() []Incarnation {
	var out []Incarnation
	for id, d := range t.leaving {
		if t.entries[id] != nil {
			out = append(out, d.incarnation)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Put applies an endpoint's record. Records up to the offset of the newest one applied, and
// late ones of earlier runs, are ignored.
func (t *Table) Put(offset int64, e Endpoint) []Change {
	old := t.entries[e.ID]
	if old != nil && offset <= old.offset {
		return nil
	}
	if t.runs[e.ID] == nil {
		t.runs[e.ID] = &runs{}
	}
	if t.runs[e.ID].isLate(e.Started) {
		if old != nil {
			old.offset = offset
		}
		return nil
	}
	if t.announcedLeaving(&e) {
		e.State = Draining
	} else if t.leaving[e.ID].incarnation.Started.Before(e.Started) {
		delete(t.leaving, e.ID)
	}
	t.entries[e.ID] = &entry{endpoint: e, offset: offset}
	if old == nil {
		return []Change{{After: &e, Reason: ReasonRecord}}
	}
	if old.endpoint.equal(&e) {
		return nil
	}
	return []Change{{Before: &old.endpoint, After: &e, Reason: ReasonRecord}}
}

// Remove applies a record that removes an endpoint, or one that can't be decoded. While
// records may have lapsed, the entry is only marked as missing.
func (t *Table) Remove(now time.Time, offset int64, id string) []Change {
	old := t.entries[id]
	if old == nil || offset <= old.offset {
		return nil
	}
	if t.mayHaveLapsed(now) {
		old.missing = true
		old.offset = offset
		return nil
	}
	delete(t.entries, id)
	return []Change{{Before: &old.endpoint, Reason: ReasonRemoved}}
}

// ApplyListing applies a complete listing: it removes the endpoints that are not listed,
// unless their record is at or after end, the offset at which the listing began. While
// records may have lapsed, they are only marked as missing.
func (t *Table) ApplyListing(now time.Time, end int64, listed func(id string) bool) []Change {
	var out []Change
	for id, old := range t.entries {
		if listed(id) || old.offset >= end {
			continue
		}
		if t.mayHaveLapsed(now) {
			old.missing = true
			continue
		}
		delete(t.entries, id)
		out = append(out, Change{Before: &old.endpoint, Reason: ReasonAbsent})
	}
	return out
}

// StoreLost records that the store is unreachable.
func (t *Table) StoreLost(now time.Time) {
	if t.unreachableSince.IsZero() {
		t.unreachableSince = now
	}
}

// StoreRegained records that the store is reachable again.
func (t *Table) StoreRegained(now time.Time) {
	if t.unreachableSince.IsZero() {
		return
	}
	if now.Sub(t.unreachableSince) >= minLapseOutage {
		t.graceUntil = now.Add(LapseGrace)
	}
	t.unreachableSince = time.Time{}
}

// Tick removes the endpoints that are still missing after LapseGrace.
func (t *Table) Tick(now time.Time) []Change {
	t.expireLeaving(now)
	if t.mayHaveLapsed(now) {
		return nil
	}
	var out []Change
	for id, old := range t.entries {
		if old.missing {
			delete(t.entries, id)
			out = append(out, Change{Before: &old.endpoint, Reason: ReasonLapsed})
		}
	}
	return out
}

// expireLeaving drops the leaving incarnations and the runs of endpoints without an entry after
// leavingRetention.
func (t *Table) expireLeaving(now time.Time) {
	for id, r := range t.runs {
		if r.expired(now, t.entries[id] != nil) {
			delete(t.runs, id)
		}
	}
	for id, d := range t.leaving {
		if t.entries[id] == nil && now.Sub(d.recordedAt) >= leavingRetention {
			delete(t.leaving, id)
		}
	}
}

// mayHaveLapsed reports whether a missing record may have lapsed in an outage of the store,
// with the endpoint still alive.
func (t *Table) mayHaveLapsed(now time.Time) bool {
	return !t.unreachableSince.IsZero() || now.Before(t.graceUntil)
}

// Endpoints returns all endpoints, sorted by id.
func (t *Table) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.endpoint)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
