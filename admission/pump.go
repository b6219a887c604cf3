package admission

import (
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

// limit is the concurrency limit, rounded down to whole slots.
func (h *Home) limit() int {
	return min(int(h.concurrency.limit), h.slots)
}

// shared is the number of slots that online and batch tickets may use: the
// concurrency limit, capped at the slots not reserved for urgent requests. It is at
// least one.
func (h *Home) shared() int {
	return max(1, min(h.limit(), h.slots-h.reserve))
}

// active is the number of tickets in use, except those being revoked, whose slots
// will be free soon.
func (h *Home) active() int {
	return len(h.running) - h.revoking
}

// kept is the number of tickets in use that are not revocable.
func (h *Home) kept() int {
	return len(h.running) - h.batch
}

// pump grants tickets to all waiters that can start now, and revokes batch tickets
// to free slots for those that cannot. It returns the effects of the current input.
func (h *Home) pump(now time.Time) []Effect {
	h.grantAll(now)
	if h.makeRoom() {
		h.grantAll(now)
	}
	if h.active() >= h.shared() {
		h.concurrency.saturated = true
	}
	return h.out
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
	if w := h.queues[laneUrgent].next(now); w != nil && h.kept() < h.slots {
		return laneUrgent, w
	}
	if h.alone > 0 {
		return 0, nil
	}
	if w := h.queues[laneAlone].next(now); w != nil {
		if len(h.running) > 0 {
			return 0, nil
		}
		return laneAlone, w
	}
	if !h.free() || h.queues[laneUrgent].size > 0 {
		return 0, nil
	}
	if w := h.queues[laneOnline].next(now); w != nil {
		return laneOnline, w
	}
	return h.nextBatch(now)
}

// free reports whether a slot is free for an online or batch ticket.
func (h *Home) free() bool {
	return h.active() < h.shared() && len(h.running) < h.slots
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
	h.unqueue(w)
	h.queues[l].grant(w)
	h.drains[l].granted(now)
	h.start(now, &w.req, now.Sub(w.since))
}

func (h *Home) start(now time.Time, req *Request, waited time.Duration) {
	h.hold(now, req)
	h.emit(Granted{Ticket: req.Ticket, Entry: req.Entry, Waited: waited})
}

// hold adds a ticket to those in use.
func (h *Home) hold(now time.Time, req *Request) *ticket {
	t := &ticket{req: *req, since: now, expiry: now.Add(h.opts.Lease), straggler: h.straggles(req)}
	h.running[req.Ticket] = t
	if h.revocable(t) {
		h.batch++
	}
	if t.straggler {
		h.stragglers++
	}
	if req.Alone {
		h.alone++
	}
	return t
}

func (h *Home) revocable(t *ticket) bool {
	return t.req.Class == objects.ClassBatch && t.req.Revocable
}

// end frees the slot of a ticket, if it is in use, and keeps its ID in released for
// the time of a lease.
func (h *Home) end(now time.Time, id string) {
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
	if t.req.Alone {
		h.alone--
	}
}

// makeRoom revokes batch tickets whose slots are needed by other requests or exceed
// the limit. It reports whether it revoked any.
func (h *Home) makeRoom() bool {
	revoked := false
	for n := h.needed(); n > 0; n-- {
		t := h.leastLoss()
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

// needed is the number of batch tickets to revoke: those above the concurrency
// limit, or as many as free a slot for each queued online request that may have
// one, whichever is larger. While a request with Request.Alone set is queued, it is
// all revocable tickets that are not being revoked yet. It may be negative.
func (h *Home) needed() int {
	if h.queues[laneAlone].size > 0 {
		return h.batch - h.revoking
	}
	need := h.active() - h.limit()
	if usable := min(h.queues[laneOnline].size, h.shared()-h.kept()); usable > 0 {
		need = max(need, usable+h.active()-h.shared())
	}
	return need
}

// leastLoss returns the revocable ticket whose revocation costs least, or nil.
func (h *Home) leastLoss() *ticket {
	var best *ticket
	for _, t := range h.running {
		if t.revoked || !h.revocable(t) {
			continue
		}
		if best == nil || t.loss() < best.loss() || t.loss() == best.loss() && t.req.Ticket < best.req.Ticket {
			best = t
		}
	}
	return best
}
