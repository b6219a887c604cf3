// Package pace detects stalled and timed-out calls to endpoints.
package pace

import (
	"context"
	"sync"
	"time"
)

const (
	// minStall is the minimum time without an event after which an endpoint is reported
	// as stalled. A slow but working one takes 100 ms to the first event and 65 ms to
	// each further event of six tokens.
	minStall = 250 * time.Millisecond
	// stallReportInterval is the time between two reports of the same stall.
	stallReportInterval = 250 * time.Millisecond
	// stallPerToken is the allowed time per token of an event. A token takes 4.1 ms on an
	// engine of the users' sites and three times as long on a slow engine in a slow
	// moment; the rest allows for prompts of other requests that are processed meanwhile.
	stallPerToken = 25 * time.Millisecond
	// noTimeout is longer than any call lasts.
	noTimeout = 24 * time.Hour
)

// StallAfter returns the time without an event after which an endpoint is reported as
// stalled, for events of a number of tokens. With one limit for all numbers, engines with
// many tokens per event would be taken for stalled in slow moments, and a tenth of them
// would get no work at the peaks.
func StallAfter(tokensPerEvent int) time.Duration {
	return max(minStall, time.Duration(tokensPerEvent)*stallPerToken)
}

// Limits are the times without an event after which a call is reported as stalled, or
// times out.
type Limits struct {
	// Stall is the result of StallAfter; lower values, such as zero, mean the
	// minimum.
	Stall time.Duration
	// First and Next are the timeouts for the first and for each further event. If First
	// is zero, there are none; if Next is zero, there is none after the first event.
	First, Next time.Duration
}

// Watch monitors the time between the events of one call. It is safe for concurrent use.
type Watch struct {
	limits    Limits
	onStall   func()
	onTimeout func()
	// onOverdue takes the place of onTimeout in a watch of StartLenient.
	onOverdue func(overdue context.Context, w *Watch)

	mu           sync.Mutex
	stallTimer   *time.Timer
	timeoutTimer *time.Timer
	timedOut     bool
	stopped      bool
	// due is when the timeout is exceeded, unless an event comes.
	due time.Time
	// endOverdue ends the context of onOverdue; nil unless a timeout is exceeded.
	endOverdue context.CancelFunc
}

// Start monitors a call that begins now. It calls onStall when no event has come for
// limits.Stall, and then again every stallReportInterval until one comes. It calls
// onTimeout once if a timeout is exceeded.
func Start(limits Limits, onStall, onTimeout func()) *Watch {
	return (&Watch{limits: limits, onStall: onStall, onTimeout: onTimeout}).start()
}

// StartLenient monitors a call as Start does, but a call whose timeout is exceeded times out
// only by GiveUp, so that it can go on if its endpoint does. It calls onOverdue in a
// goroutine of its own when a timeout is exceeded, with a context that ends with the next
// event or Stop.
func StartLenient(limits Limits, onStall func(), onOverdue func(overdue context.Context, w *Watch)) *Watch {
	return (&Watch{limits: limits, onStall: onStall, onOverdue: onOverdue}).start()
}

func (w *Watch) start() *Watch {
	limits := &w.limits
	limits.Stall = max(limits.Stall, minStall)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stallTimer = time.AfterFunc(limits.Stall, w.stallExpired)
	if limits.First > 0 {
		w.due = time.Now().Add(limits.First)
		w.timeoutTimer = time.AfterFunc(limits.First, w.timeoutExpired)
	}
	return w
}

// RecordEvent records an event of the endpoint and restarts the timers.
func (w *Watch) RecordEvent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.timedOut {
		return
	}
	w.clearOverdue()
	w.stallTimer.Reset(w.limits.Stall)
	switch {
	case w.timeoutTimer == nil:
	case w.limits.Next > 0:
		w.due = time.Now().Add(w.limits.Next)
		w.timeoutTimer.Reset(w.limits.Next)
	default:
		w.due = time.Now().Add(noTimeout)
		w.timeoutTimer.Stop()
	}
}

// GiveUp makes a call time out that is overdue, unless an event has come meanwhile or the
// watch has stopped. It reports whether it did.
func (w *Watch) GiveUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endOverdue == nil {
		return false
	}
	w.timedOut = true
	return true
}

// clearOverdue ends the context of onOverdue. Called with mu locked.
func (w *Watch) clearOverdue() {
	if w.endOverdue != nil {
		w.endOverdue()
		w.endOverdue = nil
	}
}

// TimedOut reports whether the call has timed out.
func (w *Watch) TimedOut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.timedOut
}

// Stop stops the timers.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.clearOverdue()
	w.stallTimer.Stop()
	if w.timeoutTimer != nil {
		w.timeoutTimer.Stop()
	}
}

func (w *Watch) stallExpired() {
	w.mu.Lock()
	stopped := w.stopped
	if !stopped {
		w.stallTimer.Reset(stallReportInterval)
	}
	w.mu.Unlock()
	if !stopped {
		w.onStall()
	}
}

func (w *Watch) timeoutExpired() {
	w.mu.Lock()
	// An event may have come while this call waited for the lock.
	expired := !w.stopped && !time.Now().Before(w.due)
	if lenient := w.onOverdue != nil; expired && lenient {
		w.clearOverdue()
		overdue, end := context.WithCancel(context.Background())
		w.endOverdue = end
		w.mu.Unlock()
		w.onOverdue(overdue, w)
		return
	}
	w.timedOut = expired
	w.mu.Unlock()
	if expired {
		w.onTimeout()
	}
}
