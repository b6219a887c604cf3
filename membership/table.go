package membership

import (
	"time"

	"github.com/peridotmount/peridotmount/platform"
)

// Table merges the host list, the heartbeats of the system's hosts and the
// observations of endpoints into a View. It has no clock and is not safe for
// concurrent use. Invariants: a host or endpoint that was seen leaving does not
// come back under the same incarnation, and an incarnation never falls.
type Table struct {
	opts     Options
	started  time.Time
	listed   map[string]*listed
	peers    map[string]*peer
	observed map[string]map[string]*sighting
	draining bool
	view     *View
}

// listed is what the host list said of a host.
type listed struct {
	host platform.Host
	// leaving tells that this incarnation was seen leaving.
	leaving bool
	// gone tells that the newest list does not hold the host.
	gone bool
	// first and last are when the list held this incarnation.
	first, last time.Time
}

// peer is what the heartbeats said of a host of the system.
type peer struct {
	Heartbeat
	leaving bool
	heard   time.Time
}

// sighting is one host's observation of one run of an endpoint.
type sighting struct {
	incarnation int64
	condition   Condition
	at          time.Time
}

// NewTable returns an empty Table.
func NewTable(opts Options) *Table {
	return &Table{
		opts:     opts,
		listed:   make(map[string]*listed),
		peers:    make(map[string]*peer),
		observed: make(map[string]map[string]*sighting),
		view:     &View{},
	}
}

// SetList applies the host list as read at now. What an older list said of a
// newer incarnation stays.
func (t *Table) SetList(hosts []platform.Host, now time.Time) {
	for _, l := range t.listed {
		l.gone = true
	}
	for i := range hosts {
		t.list(&hosts[i], now)
	}
	for name, l := range t.listed {
		if l.gone && now.Sub(l.last) > memory {
			delete(t.listed, name)
		}
	}
}

func (t *Table) list(h *platform.Host, now time.Time) {
	l := t.listed[h.Name]
	if l == nil || l.host.Incarnation < h.Incarnation {
		l = &listed{first: now}
		t.listed[h.Name] = l
	}
	l.gone = false
	l.last = now
	if l.host.Incarnation > h.Incarnation {
		return
	}
	l.host = *h
	if h.State == platform.HostLeaving {
		l.leaving = true
	}
}

// Heartbeat applies a heartbeat received at now.
func (t *Table) Heartbeat(b Heartbeat, now time.Time) {
	p := t.peers[b.Name]
	if p != nil && p.Incarnation > b.Incarnation {
		return
	}
	leaving := b.State == platform.HostLeaving
	if p != nil && p.Incarnation == b.Incarnation {
		leaving = leaving || p.leaving
	}
	t.peers[b.Name] = &peer{Heartbeat: b, leaving: leaving, heard: now}
}

// Observe applies what a host saw of an endpoint at now.
func (t *Table) Observe(observer string, o Observation, now time.Time) {
	if l := t.listed[o.Endpoint]; l != nil && l.host.Incarnation == o.Incarnation && o.Condition == Leaving {
		l.leaving = true
	}
	byObserver := t.observed[o.Endpoint]
	if byObserver == nil {
		byObserver = make(map[string]*sighting)
		t.observed[o.Endpoint] = byObserver
	}
	old := byObserver[observer]
	if old != nil && (old.incarnation > o.Incarnation || old.incarnation == o.Incarnation && old.condition == Leaving) {
		return
	}
	byObserver[observer] = &sighting{incarnation: o.Incarnation, condition: o.Condition, at: now}
}

// Drain marks this host as leaving.
func (t *Table) Drain() {
	t.draining = true
}

// Revision returns the highest revision in force at a host of the system, or
// low if none is higher.
func (t *Table) Revision(low int64) int64 {
	for _, p := range t.peers {
		low = max(low, p.Revision)
	}
	return low
}

// Tick returns the view at now: the last one, unless something changed.
func (t *Table) Tick(now time.Time) *View {
	if t.started.IsZero() {
		t.started = now
	}
	t.expire(now)
	hosts := t.merge(now)
	if !sameHosts(hosts, t.view.Hosts) {
		t.view = &View{Hosts: hosts}
	}
	return t.view
}
