package scheduler

import (
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/blame"
)

// SetSuspects replaces the keys of requests that may crash endpoints. Requests with the
// same one are granted one by one, so that few endpoints crash until it is known.
func (c *Core) SetSuspects(now time.Time, keys []blame.Key) {
	c.suspects.SetSuspects(keys)
	c.dispatchAll(now)
}

// RefuseWaiting refuses the waiting requests that match a conviction, as given by match.
func (c *Core) RefuseWaiting(now time.Time, match func(keys []blame.Key) *blame.Conviction) {
	for _, name := range c.serviceNames() {
		v := c.services[name]
		for _, w := range slices.Clone(v.queue) {
			if verdict := match(w.keys); verdict != nil {
				v.dequeue(w)
				delete(c.waiting, w.Ticket)
				c.refund(now, w)
				c.RefuseRequest(now, w.host.name, &w.SlotRequest, verdict)
			}
		}
	}
}

// RefuseRequest refuses a request that matches a conviction.
func (c *Core) RefuseRequest(now time.Time, host string, request *SlotRequest, verdict *blame.Conviction) {
	v := c.service(request.Service)
	c.emit(Refuse{
		Host: host, Ticket: request.Ticket, Reason: ReasonConvicted, RetryAfter: verdict.Left,
		Load: v.load(now, c.share, len(v.queue)),
	})
}

// requestsBefore returns how many requests are served before w. Suspects whose turn has not
// come are passed over.
func (c *Core) requestsBefore(now time.Time, v *service, w *waiter) int {
	n := v.queuePosition(w)
	before := n
	for _, o := range v.queue[:n] {
		if c.suspects.Wait(now, o.keys) > 0 {
			before--
		}
	}
	return before
}

// RefuseUnknownVersion refuses a request that goes on with a stream of which it is not known
// which version began it.
func (c *Core) RefuseUnknownVersion(now time.Time, host string, request *SlotRequest) {
	v := c.service(request.Service)
	c.emit(Refuse{
		Host: host, Ticket: request.Ticket, Reason: ReasonUnknownVersion, RetryAfter: minRetryAfter,
		Load: v.load(now, c.share, len(v.queue)),
	})
}
