package gossip

import (
	"math"
	"math/bits"
)

// superseded marks a record that a newer one has replaced.
const superseded = math.MaxInt

// extraPushes is added to the logarithm of the number of hosts, to make it
// unlikely that a host is passed over by every push.
const extraPushes = 2

// heat puts r among the entries to push, in place of the oldest if need be.
func (s *Store) heat(r *record) {
	if len(s.hot) >= maxHot {
		s.hot = s.hot[:copy(s.hot, s.hot[len(s.hot)-maxHot/2:])]
	}
	s.hot = append(s.hot, r)
}

// pushLimit is how often an entry is pushed from here.
func (s *Store) pushLimit() int {
	return bits.Len(uint(len(s.names))) + extraPushes
}

// pushes returns the entries to push to a host, newest first, until budget
// bytes are used up, and the rest of the budget.
func (s *Store) pushes(to Peer, budget int) ([]Entry, int) {
	limit := s.pushLimit()
	var out []Entry
	for i := len(s.hot) - 1; i >= 0 && budget > 0; i-- {
		r := s.hot[i]
		if r.pushes >= limit || r.Origin == to.Name || r.from == to.Name || !r.visible(to.Zone, to.Region) {
			continue
		}
		if r.size() > budget && len(out) > 0 {
			continue
		}
		budget -= r.size()
		r.pushes++
		out = append(out, s.wire(r))
	}
	s.cool(limit)
	return out, budget
}

// cool drops the entries that have been pushed often enough.
func (s *Store) cool(limit int) {
	kept := s.hot[:0]
	for _, r := range s.hot {
		if r.pushes < limit {
			kept = append(kept, r)
		}
	}
	clear(s.hot[len(kept):])
	s.hot = kept
}

// wire returns the entry of r as it is sent.
func (s *Store) wire(r *record) Entry {
	e := r.Entry
	l := &s.origins[r.Origin].logs[r.Scope.index()]
	if i := l.search(r.Version.Counter); i < len(l.records) && l.records[i] == r {
		e.Since = l.since(i)
	}
	return e
}
