// Package recent remembers what came last, in bounded memory.
package recent

// Set remembers the strings that were added last.
type Set struct {
	order []string
	next  int
	held  map[string]bool
}

// NewSet returns a Set of at most size strings.
func NewSet(size int) *Set {
	return &Set{order: make([]string, size), held: make(map[string]bool)}
}

// Add remembers a string, in the place of the oldest one if the set is full.
func (s *Set) Add(v string) {
	if s.held[v] {
		return
	}
	delete(s.held, s.order[s.next])
	s.order[s.next] = v
	s.held[v] = true
	s.next = (s.next + 1) % len(s.order)
}

// Has reports whether a string is remembered.
func (s *Set) Has(v string) bool {
	return s.held[v]
}
