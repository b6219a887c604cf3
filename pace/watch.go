// Package pace watches how fast an endpoint answers.
package pace

import (
	"sync"
	"time"
)

// StallAfter is the silence after which an endpoint is reported: a slowed one
// takes 100 ms to a first event and 65 ms to a further one.
const StallAfter = 250 * time.Millisecond

// Limits are the silences after which a call is given up; zero means never.
type Limits struct {
	First, Next time.Duration
}

// Watch watches one call for silence. Its methods are safe for concurrent use.
type Watch struct {
	limits  Limits
	stalled func()
	giveUp  func()

	mu      sync.Mutex
	stall   *time.Timer
	limit   *time.Timer
	over    bool
	stopped bool
}

// Start watches a call that begins now. It calls stalled after StallAfter without
// a byte, again and again, and giveUp once the limits are exceeded.
func Start(limits Limits, stalled, giveUp func()) *Watch {
	w := &Watch{limits: limits, stalled: stalled, giveUp: giveUp}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stall = time.AfterFunc(StallAfter, w.stallPassed)
	if limits.First > 0 {
		w.limit = time.AfterFunc(limits.First, w.limitPassed)
	}
	return w
}

// Heard notes that the endpoint said something.
func (w *Watch) Heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.over {
		return
	}
	w.stall.Reset(StallAfter)
	if w.limit != nil {
		w.limit.Reset(w.limits.Next)
	}
}

// Over reports whether the call was given up.
func (w *Watch) Over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.stall.Stop()
	if w.limit != nil {
		w.limit.Stop()
	}
}

func (w *Watch) stallPassed() {
	w.mu.Lock()
	stopped := w.stopped
	if !stopped {
		w.stall.Reset(StallAfter)
	}
	w.mu.Unlock()
	if !stopped {
		w.stalled()
	}
}

func (w *Watch) limitPassed() {
	w.mu.Lock()
	passed := !w.stopped
	w.over = passed
	w.mu.Unlock()
	if passed {
		w.giveUp()
	}
}
