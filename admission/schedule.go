package admission

import (
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

// limit is the concurrency limit, rounded down to whole slots.
func (h *Home) limit() int {
	return min(int(h.concurrency.limit), h.slots)
}

// sharedLimit is the number of slots that online and batch tickets may use: the
// concurrency limit, capped at the slots not reserved for urgent requests. It is at
// least one.
func (h *Home) sharedLimit() int {
	return max(1, min(h.limit(), h.slots-h.reserve))
}

// active is the number of tickets in use, except those being revoked, whose slots
// will be free soon.
func (h *Home) active() int {
	return len(h.running) - h.revoking
}

// nonRevocable is the number of tickets in use that are not revocable.
func (h *Home) nonRevocable() int {
	return len(h.running) - h.batch
}

// schedule grants tickets to all waiters that can start now, and revokes batch
// tickets to free slots for those that cannot. It returns the effects of the current
// input.
func (h *Home) schedule(now time.Time) []Effect {
	h.grantAll(now)
	if h.revokeForDemand() {
		h.grantAll(now)
	}
	if h.active() >= h.sharedLimit() {
		h.concurrency.saturated = true
	}
	return h.effects
}

func (h *Home) grantAll(now time.Time) {
	for {
		l, w := h.next(now)
		if w == nil {
			return
		}
		h.grant(now, l, w)
	}
}

// next returns the waiter to be granted next, with its lane; nil if none can start.
func (h *Home) next(now time.Time) (lane, *waiter) {
	if w := h.queues[laneUrgent].next(now); w != nil && h.nonRevocable() < h.slots {
		return laneUrgent, w
	}
	if h.exclusive > 0 {
		return 0, nil
	}
	if w := h.queues[laneExclusive].next(now); w != nil {
		if len(h.running) > 0 {
			return 0, nil
		}
		return laneExclusive, w
	}
	if !h.hasFreeSlot() || h.queues[laneUrgent].size > 0 {
		return 0, nil
	}
	if w := h.queues[laneOnline].next(now); w != nil {
		return laneOnline, w
	}
	return h.nextBatch(now)
}

// hasFreeSlot reports whether a slot is free for an online or batch ticket.
func (h *Home) hasFreeSlot() bool {
	return h.active() < h.sharedLimit() && len(h.running) < h.slots
}

func (h *Home) nextBatch(now time.Time) (lane, *waiter) {
	if w := h.queues[laneStraggler].next(now); w != nil && h.stragglers < h.stragglerSlots() {
		return laneStraggler, w
	}
	return laneBatch, h.queues[laneBatch].next(now)
}

// stragglerSlots is the maximum number of stragglers that run at the same time.
func (h *Home) stragglerSlots() int {
	return max(1, int(float64(h.slots)*h.opts.StragglerShare))
}

func (h *Home) grant(now time.Time, l lane, w *waiter) {
	h.dequeue(w)
	h.queues[l].grant(w)
	h.drainRates[l].granted(now)
	h.start(now, &w.req, now.Sub(w.waitingSince))
}

func (h *Home) start(now time.Time, req *Request, waited time.Duration) {
	h.addTicket(now, req)
	h.emit(Granted{Ticket: req.Ticket, Entry: req.Entry, Waited: waited})
}

// addTicket adds a ticket to those in use.
func (h *Home) addTicket(now time.Time, req *Request) *ticket {
	t := &ticket{req: *req, since: now, expiry: now.Add(h.opts.Lease), straggler: h.isStraggler(req)}
	h.running[req.Ticket] = t
	if h.revocable(t) {
		h.batch++
	}
	if t.straggler {
		h.stragglers++
	}
	if req.Exclusive {
		h.exclusive++
	}
	return t
}

func (h *Home) revocable(t *ticket) bool {
	return t.req.Class == objects.ClassBatch && t.req.Revocable
}

// endTicket frees the slot of a ticket, if it is in use, and keeps its ID in released
// for the time of a lease.
func (h *Home) endTicket(now time.Time, id string) {
	h.released[id] = now.Add(h.opts.Lease)
	t := h.running[id]
	if t == nil {
		return
	}
	delete(h.running, id)
	if h.revocable(t) {
		h.batch--
	}
	if t.revoked {
		h.revoking--
	}
	if t.straggler {
		h.stragglers--
	}
	if t.req.Exclusive {
		h.exclusive--
	}
}

// revokeForDemand revokes batch tickets whose slots are needed by other requests or
// exceed the limit. It reports whether it revoked any.
func (h *Home) revokeForDemand() bool {
	revoked := false
	for n := h.revocationsNeeded(); n > 0; n-- {
		t := h.cheapestRevocable()
		if t == nil {
			break
		}
		t.revoked = true
		h.revoking++
		h.emit(Revoke{Ticket: t.req.Ticket, Entry: t.req.Entry})
		revoked = true
	}
	return revoked
}

// revocationsNeeded is the number of batch tickets to revoke: the larger of the
// number of active tickets above the concurrency limit and the number of slots
// missing for the queued online requests that fit into the shared limit. While a
// request with Request.Exclusive set is queued, it is the number of all revocable
// tickets that are not being revoked yet. It may be negative.
func (h *Home) revocationsNeeded() int {
	if h.queues[laneExclusive].size > 0 {
		return h.batch - h.revoking
	}
	need := h.active() - h.limit()
	if grantable := min(h.queues[laneOnline].size, h.sharedLimit()-h.nonRevocable()); grantable > 0 {
		need = max(need, grantable+h.active()-h.sharedLimit())
	}
	return need
}

// cheapestRevocable returns the revocable ticket whose revocation costs least, or
// nil.
func (h *Home) cheapestRevocable() *ticket {
	var best *ticket
	for _, t := range h.running {
		if t.revoked || !h.revocable(t) {
			continue
		}
		if best == nil || t.revocationCost() < best.revocationCost() || t.revocationCost() == best.revocationCost() && t.req.Ticket < best.req.Ticket {
			best = t
		}
	}
	return best
}
