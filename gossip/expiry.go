package gossip

import (
	"sort"
	"time"
)

// Tick sets the Store's time and drops what has expired: the entries of
// origins without news, and tombstones by age.
func (s *Store) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now.IsZero() {
		s.start(now)
	}
	s.now = now
	for _, name := range append([]string(nil), s.names...) {
		s.expire(s.origins[name])
	}
}

// start dates what came before the first Tick.
func (s *Store) start(now time.Time) {
	for _, o := range s.origins {
		o.heard = now
		for i := range o.logs {
			for _, r := range o.logs[i].records {
				r.heard = now
			}
		}
	}
}

func (s *Store) expire(o *origin) {
	if o.name == s.opts.Host {
		s.dropTombstones(o)
		return
	}
	age := s.now.Sub(o.heard)
	switch {
	case age >= s.opts.OriginTTL+s.opts.TombstoneTTL:
		s.clear(o)
		s.removeName(o.name)
		delete(s.origins, o.name)
	case age >= s.opts.OriginTTL:
		// The origin stays as a tombstone: its logs keep what was complete.
		s.clear(o)
	default:
		s.dropTombstones(o)
	}
}

// dropTombstones forgets withdrawn entries by age. The log's complete counter
// stays, so their versions are not asked for again.
func (s *Store) dropTombstones(o *origin) {
	for i := range o.logs {
		for _, r := range append([]*record(nil), o.logs[i].records...) {
			if r.Withdrawn && s.now.Sub(r.heard) >= s.opts.TombstoneTTL {
				s.drop(o, r)
			}
		}
	}
}

// clear drops the entries of an origin.
func (s *Store) clear(o *origin) {
	for i := range o.logs {
		for _, r := range append([]*record(nil), o.logs[i].records...) {
			s.drop(o, r)
		}
	}
}

func (s *Store) drop(o *origin, r *record) {
	o.logs[r.Scope.index()].remove(r)
	r.pushes = superseded
	kind := s.index[r.Kind]
	delete(kind[r.Key], r.Origin)
	if len(kind[r.Key]) == 0 {
		delete(kind, r.Key)
	}
	if len(kind) == 0 {
		delete(s.index, r.Kind)
	}
}

func (s *Store) addName(name string) {
	i := sort.SearchStrings(s.names, name)
	s.names = append(s.names, "")
	copy(s.names[i+1:], s.names[i:])
	s.names[i] = name
}

func (s *Store) removeName(name string) {
	i := sort.SearchStrings(s.names, name)
	s.names = append(s.names[:i], s.names[i+1:]...)
}
