package gossip

import (
	"sync"
	"time"
)

// maxHot bounds the entries that wait to be pushed.
const maxHot = 4096

// Store holds the newest entry of every kind, key and origin. It is safe for
// concurrent use. Invariant: the version of an entry never falls.
type Store struct {
	opts Options

	mu      sync.RWMutex
	now     time.Time
	counter uint64
	index   map[Kind]kindIndex
	origins map[string]*origin
	// names lists the origins in order.
	names []string
	// cursor is the name at which the next digest starts.
	cursor string
	// hot lists the entries still to be pushed, oldest first.
	hot []*record
}

// kindIndex finds the records of a kind by key and origin.
type kindIndex map[string]map[string]*record

// NewStore returns an empty Store.
func NewStore(opts Options) *Store {
	return &Store{
		opts:    opts.withDefaults(),
		index:   make(map[Kind]kindIndex),
		origins: make(map[string]*origin),
	}
}

// Publish makes data, a JSON value, this host's newest entry of kind and key.
func (s *Store) Publish(kind Kind, key string, scope Scope, data []byte) {
	s.publish(Entry{Kind: kind, Key: key, Scope: scope, Data: data})
}

// Withdraw takes this host's entry of kind and key back everywhere.
func (s *Store) Withdraw(kind Kind, key string) {
	s.mu.RLock()
	r := s.index[kind][key][s.opts.Host]
	s.mu.RUnlock()
	if r == nil || r.Withdrawn {
		return
	}
	s.publish(Entry{Kind: kind, Key: key, Scope: r.Scope, Withdrawn: true, Data: []byte("null")})
}

func (s *Store) publish(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	e.Origin, e.Zone, e.Region = s.opts.Host, s.opts.Zone, s.opts.Region
	e.Version = Version{Incarnation: s.opts.Incarnation, Counter: s.counter}
	o := s.origin(&e)
	if i := e.Scope.index(); i >= 0 {
		e.Since = o.logs[i].complete
	}
	s.put(o, &record{Entry: e})
}

// Merge applies a single entry from another host and reports whether it was
// news. It takes nothing from it about the origin's other entries.
func (s *Store) Merge(e Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Version.Counter > 0 {
		e.Since = e.Version.Counter - 1
	}
	return s.merge(&e, e.Origin)
}

func (s *Store) merge(e *Entry, from string) bool {
	if e.Origin == s.opts.Host || e.Scope.index() < 0 || !e.visible(s.opts.Zone, s.opts.Region) {
		return false
	}
	o := s.origin(e)
	if o == nil {
		return false
	}
	if old := s.index[e.Kind][e.Key][e.Origin]; old != nil && !old.Version.Before(e.Version) {
		return false
	}
	if e.Version.Counter <= o.logs[e.Scope.index()].complete {
		return false // The entry was superseded, withdrawn or forgotten.
	}
	s.put(o, &record{Entry: *e, from: from})
	return true
}

// origin returns the origin of e, anew if e is of a newer incarnation, or nil
// if e is of an older one.
func (s *Store) origin(e *Entry) *origin {
	o := s.origins[e.Origin]
	switch {
	case o == nil:
		o = &origin{name: e.Origin, incarnation: e.Version.Incarnation}
		s.origins[e.Origin] = o
		s.addName(e.Origin)
	case o.incarnation < e.Version.Incarnation:
		s.clear(o)
		*o = origin{name: e.Origin, incarnation: e.Version.Incarnation}
	case o.incarnation > e.Version.Incarnation:
		return nil
	}
	return o
}

func (s *Store) put(o *origin, r *record) {
	r.heard = s.now
	o.heard = s.now
	kind := s.index[r.Kind]
	if kind == nil {
		kind = make(kindIndex)
		s.index[r.Kind] = kind
	}
	byOrigin := kind[r.Key]
	if byOrigin == nil {
		byOrigin = make(map[string]*record, 1)
		kind[r.Key] = byOrigin
	}
	if old := byOrigin[r.Origin]; old != nil {
		o.logs[old.Scope.index()].remove(old)
		old.pushes = superseded
	}
	byOrigin[r.Origin] = r
	o.logs[r.Scope.index()].insert(r)
	s.heat(r)
}

// Lookup returns the newest entry of kind and key of every origin.
func (s *Store) Lookup(kind Kind, key string) []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return appendEntries(nil, s.index[kind][key])
}

// All returns the newest entries of a kind.
func (s *Store) All(kind Kind) []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]Entry, 0, len(s.index[kind]))
	for _, byOrigin := range s.index[kind] {
		out = appendEntries(out, byOrigin)
	}
	return out
}

func appendEntries(out []Entry, byOrigin map[string]*record) []Entry {
	for _, r := range byOrigin {
		if !r.Withdrawn {
			out = append(out, r.Entry)
		}
	}
	return out
}
