package gossip

// A host's incarnation is its wall clock at the start, which may have been set back since its last
// run started. The other hosts hear nothing of an incarnation below the one that they know, so
// every message names that one, and the host takes a higher one.

// Incarnation returns the incarnation under which this host publishes.
func (s *Store) Incarnation() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.opts.Incarnation
}

// known returns the incarnation that is known of another host, 0 if none is.
func (s *Store) known(of Peer) int64 {
	if o := s.origins[of.Name]; o != nil {
		return o.incarnation
	}
	return 0
}

// learn takes an incarnation above those of earlier runs that m tells of. Hosts of older software
// tell by their digests and by entries alone.
func (s *Store) learn(m *Message) {
	highest := m.Known
	if m.Digest != nil {
		for i := range m.Digest.Origins {
			if mark := &m.Digest.Origins[i]; mark.Name == s.opts.Host {
				highest = max(highest, mark.Incarnation)
			}
		}
	}
	for i := range m.Entries {
		if e := &m.Entries[i]; e.Origin == s.opts.Host {
			highest = max(highest, e.Version.Incarnation)
		}
	}
	if highest > s.opts.Incarnation {
		s.raise(highest + 1)
	}
}

// raise publishes all entries of this host anew under a higher incarnation. Their counters stay.
func (s *Store) raise(incarnation int64) {
	s.opts.Incarnation = incarnation
	o := s.origins[s.opts.Host]
	if o == nil {
		return
	}
	o.incarnation = incarnation
	kept := s.hot[:0]
	for _, r := range s.hot {
		if r.Origin != s.opts.Host {
			kept = append(kept, r)
		}
	}
	clear(s.hot[len(kept):])
	s.hot = kept
	for i := range o.logs {
		for _, r := range o.logs[i].records {
			r.Version.Incarnation = incarnation
			r.pushes = 0
			s.heat(r)
		}
	}
}
