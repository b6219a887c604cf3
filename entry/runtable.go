package entry

import (
	"sync"
)

// runTable holds the keyed requests that this host runs or holds until they
// are recorded. It bounds both at once: a request without a place is refused
// before it runs, so that a finished one always has room to wait for the log.
type runTable struct {
	capacity int

	mu   sync.Mutex
	runs map[string]*run
}

func newRunTable(capacity int) *runTable {
	return &runTable{capacity: capacity, runs: make(map[string]*run)}
}

// claim returns the run of a request; fresh tells that it was made by this
// call, whose caller has to end it. It returns nil if the table is full.
func (t *runTable) claim(id, digest, nonce string) (r *run, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.runs[id]; r != nil {
		return r, false
	}
	if len(t.runs) >= t.capacity {
		return nil, false
	}
	r = newRun(id, digest, nonce)
	t.runs[id] = r
	return r, true
}

// drop forgets a run, unless another took its place.
func (t *runTable) drop(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs[r.id] == r {
		delete(t.runs, r.id)
	}
}

// find returns the run of a request, or nil.
func (t *runTable) find(id string) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

func (t *runTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}
