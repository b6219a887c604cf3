package scheduler

import "time"

// waiter is an ask that waits for a slot.
type waiter struct {
	Ask
	host *member
	// arrived is when the request came to its host.
	arrived  time.Time
	deadline time.Time
	// judged tells that the wait was found short enough when that was last asked.
	judged bool
	// late tells that the objective has passed: others go first.
	late bool
	// returning tells that the request was turned away before: it goes first.
	returning bool
	seq       uint64
}

// before reports whether w is served before o.
func (w *waiter) before(o *waiter) bool {
	if w.late != o.late {
		return !w.late
	}
	if w.Priority != o.Priority {
		return w.Priority < o.Priority
	}
	if w.returning != o.returning {
		return w.returning
	}
	return w.seq < o.seq
}

// decideBy is until when the ask can be turned away early.
func (w *waiter) decideBy() time.Time {
	return w.arrived.Add(time.Duration(decideShare * float64(w.Objective)))
}
