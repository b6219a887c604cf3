package scheduler

// recentSet remembers the strings that were added last.
type recentSet struct {
	order []string
	next  int
	held  map[string]int
}

func newRecentSet(size int) *recentSet {
	return &recentSet{order: make([]string, size), held: make(map[string]int, size)}
}

// add remembers a string in the place of the oldest one.
func (r *recentSet) add(s string) {
	if old := r.order[r.next]; old != "" {
		if r.held[old]--; r.held[old] <= 0 {
			delete(r.held, old)
		}
	}
	r.order[r.next] = s
	r.held[s]++
	r.next = (r.next + 1) % len(r.order)
}

// has reports whether a string is remembered.
func (r *recentSet) has(s string) bool {
	return r.held[s] > 0
}
