// Package pace watches how fast an endpoint answers.
package pace

import (
	"sync"
	"time"
)

const (
	// leastStall is the shortest silence after which an endpoint is reported: a slowed
	// one takes 100 ms to a first event and 65 ms to a further one of six tokens.
	leastStall = 250 * time.Millisecond
	// stallAgain is the time between two reports of the same silence.
	stallAgain = 250 * time.Millisecond
	// stallPerToken is that for each token of an event: 4.1 ms on an engine of the users'
	// sites, three times as many on a slow one in a slow moment, and the prompts of
	// others that are read meanwhile.
	stallPerToken = 25 * time.Millisecond
)

// StallAfter returns the silence after which an endpoint is reported whose events hold
// so many tokens. The load it answers: engines whose events hold many. Taken for stalled
// in their slow moments, a tenth of them got no work at the peaks.
func StallAfter(tokensPerEvent int) time.Duration {
	return max(leastStall, time.Duration(tokensPerEvent)*stallPerToken)
}

// Limits are the silences after which a call is reported, once and again, or given up.
type Limits struct {
	// Stall is what StallAfter says; zero means the least.
	Stall time.Duration
	// First and Next are those before the first and each further event after which the
	// call is given up; zero means never.
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

// Start watches a call that begins now. It calls stalled after the stall without an
// event, again and again, and giveUp once the other limits are exceeded.
func Start(limits Limits, stalled, giveUp func()) *Watch {
	limits.Stall = max(limits.Stall, leastStall)
	w := &Watch{limits: limits, stalled: stalled, giveUp: giveUp}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stall = time.AfterFunc(limits.Stall, w.stallPassed)
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
	w.stall.Reset(w.limits.Stall)
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
		w.stall.Reset(stallAgain)
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
