package gossip

import "sort"

// Request builds the first half of an exchange with a host.
func (s *Store) Request(to Peer) Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, _ := s.pushes(to, s.opts.MessageBytes)
	return Message{From: s.self(), Known: s.known(to), Digest: s.digest(), Entries: entries}
}

// Answer applies the first half of an exchange and builds the second.
func (s *Store) Answer(m *Message) Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receive(m)
	var entries []Entry
	budget := s.opts.MessageBytes
	if m.Digest != nil {
		entries, budget = s.missing(m.From, m.Digest, budget)
	}
	pushed, _ := s.pushes(m.From, budget)
	return Message{From: s.self(), Known: s.known(m.From), Entries: append(entries, without(pushed, entries)...)}
}

// Receive applies the second half of an exchange and returns the number of
// entries that were news.
func (s *Store) Receive(m *Message) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receive(m)
}

func (s *Store) self() Peer {
	return Peer{Name: s.opts.Host, Zone: s.opts.Zone, Region: s.opts.Region}
}

func (s *Store) receive(m *Message) int {
	s.learn(m)
	news := 0
	for i := range m.Entries {
		e := &m.Entries[i]
		if s.merge(e, m.From.Name) {
			news++
			continue
		}
		s.confirm(e)
	}
	return news
}

// confirm applies a better Since of an entry that is held already.
func (s *Store) confirm(e *Entry) {
	r := s.index[e.Kind][e.Key][e.Origin]
	if r == nil || r.from == "" || r.Version != e.Version || e.Since >= r.Since {
		return
	}
	r.Since = e.Since
	s.origins[e.Origin].logs[r.Scope.index()].advance()
}

// digest describes the next window of origins.
func (s *Store) digest() *Digest {
	start := sort.SearchStrings(s.names, s.cursor)
	if start < len(s.names) && s.names[start] == s.cursor {
		start++
	}
	stop := min(start+s.opts.Window, len(s.names))
	d := &Digest{After: s.cursor}
	s.cursor = ""
	if stop < len(s.names) {
		d.Through = s.names[stop-1]
		s.cursor = d.Through
	}
	for _, name := range s.names[start:stop] {
		o := s.origins[name]
		d.Origins = append(d.Origins, OriginMark{
			Name:        name,
			Incarnation: o.incarnation,
			Zone:        o.logs[0].complete,
			Region:      o.logs[1].complete,
			Global:      o.logs[2].complete,
		})
	}
	return d
}

// missing returns what the sender of a digest lacks. The entries of one origin
// and scope go in the order of their counters, so that what was received of
// them is always whole up to some counter; origins heard of last come first.
func (s *Store) missing(to Peer, d *Digest, budget int) ([]Entry, int) {
	marks := make(map[string]*OriginMark, len(d.Origins))
	for i := range d.Origins {
		marks[d.Origins[i].Name] = &d.Origins[i]
	}
	var out []Entry
	for _, o := range s.inWindow(d) {
		mark := marks[o.name]
		if mark == nil || mark.Incarnation < o.incarnation {
			mark = &OriginMark{}
		} else if mark.Incarnation > o.incarnation {
			continue
		}
		for i := range o.logs {
			out, budget = o.logs[i].after(out, to, mark.counter(i), budget)
		}
	}
	return out, budget
}

func (s *Store) inWindow(d *Digest) []*origin {
	var list []*origin
	for i := sort.SearchStrings(s.names, d.After); i < len(s.names); i++ {
		name := s.names[i]
		if d.Through != "" && name > d.Through {
			break
		}
		if name != d.After || d.After == "" {
			list = append(list, s.origins[name])
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].heard.After(list[j].heard) })
	return list
}

// after appends the entries behind counter that a host may hold.
func (l *scopeLog) after(out []Entry, to Peer, counter uint64, budget int) ([]Entry, int) {
	since := counter
	for i := l.search(counter + 1); i < len(l.records); i++ {
		r := l.records[i]
		if r.Version.Counter > l.complete || !r.visible(to.Zone, to.Region) {
			break
		}
		if r.size() > budget && len(out) > 0 {
			return out, 0
		}
		e := r.Entry
		e.Since = since
		since = r.Version.Counter
		budget -= r.size()
		out = append(out, e)
	}
	return out, budget
}

// without returns the entries of list that are not among others.
func without(list, others []Entry) []Entry {
	type id struct {
		kind        Kind
		key, origin string
	}
	seen := make(map[id]bool, len(others))
	for i := range others {
		seen[id{others[i].Kind, others[i].Key, others[i].Origin}] = true
	}
	kept := list[:0]
	for i := range list {
		if !seen[id{list[i].Kind, list[i].Key, list[i].Origin}] {
			kept = append(kept, list[i])
		}
	}
	return kept
}
