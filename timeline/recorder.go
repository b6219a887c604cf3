package timeline

import "sync"

// Recorder keeps the newest events of a process in bounded memory. It is safe
// for concurrent use; a nil Recorder drops events.
type Recorder struct {
	host  string
	clock *Clock

	mu sync.Mutex
	// events is a ring; next is the place of the event to come.
	events []Event
	next   int
	full   bool
}

// NewRecorder returns a Recorder that keeps capacity events of host.
func NewRecorder(host string, capacity int, clock *Clock) *Recorder {
	return &Recorder{host: host, clock: clock, events: make([]Event, capacity)}
}

// Record stamps e and keeps it, in place of the oldest event if need be.
// Invariant: events lie in the ring in the order of their stamps.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	e.Host = r.host
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.clock.Stamp()
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the events kept, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Event(nil), r.events[:r.next]...)
	}
	out := append([]Event(nil), r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}

// Query returns the newest events that f matches, oldest first: at most limit.
// A nil Recorder has none.
func (r *Recorder) Query(f Filter, limit int) Page {
	if r == nil {
		return Page{Events: []Event{}}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	page := Page{Host: r.host, Events: []Event{}, Overwritten: r.full}
	for i := range r.held() {
		e := &r.events[(r.next-1-i+len(r.events))%len(r.events)]
		if !f.Matches(e) {
			continue
		}
		if len(page.Events) == limit {
			page.Truncated = true
			break
		}
		page.Events = append(page.Events, *e)
	}
	reverse(page.Events)
	return page
}

// held returns the number of events in the ring.
func (r *Recorder) held() int {
	if r.full {
		return len(r.events)
	}
	return r.next
}

func reverse(events []Event) {
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
}
