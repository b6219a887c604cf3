package scheduler

import (
	"time"
)

// refuseIfTooLate refuses a request whose first event is expected after its objective. It
// spares suspects: they don't wait for a slot, and go on as soon as they are cleared.
func (c *Core) refuseIfTooLate(now time.Time, v *service, w *waiter) {
	if c.suspects.Wait(now, w.keys) > 0 {
		return
	}
	firstEvent := now.Add(v.waitBound(now, c.share, c.requestsBefore(now, v, w)) + v.firstTokenBound())
	if firstEvent.After(w.arrived.Add(w.Objective)) {
		if v.underTest > v.excluded && !w.Repeatable && c.startOnline(now, v, w, 0, true) {
			v.serve(v.queuePosition(w))
			return
		}
		c.refuse(now, v, w, ReasonOverload)
	}
}

func (c *Core) refuse(now time.Time, v *service, w *waiter, reason Reason) {
	load := v.load(now, c.share, v.queuePosition(w))
	v.dequeue(w)
	delete(c.waiting, w.Ticket)
	c.refund(now, w)
	v.overloadedAt = now
	if w.Fingerprint != "" {
		v.refused.Add(w.Fingerprint)
	}
	c.emit(Refuse{
		Host: w.host.name, Ticket: w.Ticket, Reason: reason, RetryAfter: v.retryAfter(now, c.share), Load: load,
	})
}

// refuseOrDemote refuses the waiting requests whose deadline would pass before the first
// event, checks the wait of each once at its earlyRefusalEnd, and moves those whose
// objective has passed behind all others.
func (c *Core) refuseOrDemote(now time.Time, v *service) {
	for _, w := range append([]*waiter(nil), v.queue...) {
		switch {
		case w.Version != nil && !v.lists(w.Version):
			c.refuse(now, v, w, ReasonNoVersion)
		case !now.Add(v.meanFirst).Before(w.deadline):
			c.refuse(now, v, w, ReasonDeadline)
		case !w.rechecked && !now.Before(w.earlyRefusalEnd()):
			w.rechecked = true
			c.refuseIfTooLate(now, v, w)
		case !w.late && now.After(w.arrived.Add(w.Objective)):
			v.dequeue(w)
			w.late = true
			v.enqueue(w)
		}
	}
}
