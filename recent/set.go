// Package recent provides a set of bounded size that keeps the most recent entries.
package recent

// Set is a set of the most recently added strings, evicted in order of insertion. It is
// not safe for concurrent use.
type Set struct {
	order   []string
	next    int
	present map[string]bool
}

// NewSet returns a Set of at most size strings.
func NewSet(size int) *Set {
	return &Set{order: make([]string, size), present: make(map[string]bool)}
}

// Add adds a string, and evicts the oldest one if the set is full. Adding a string that is
// present does not make it newer.
func (s *Set) Add(v string) {
	if s.present[v] {
		return
	}
	delete(s.present, s.order[s.next])
	s.order[s.next] = v
	s.present[v] = true
	s.next = (s.next + 1) % len(s.order)
}

// Has reports whether a string is in the set.
func (s *Set) Has(v string) bool {
	return s.present[v]
}
