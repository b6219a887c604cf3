package admission

import (
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

// limit is the concurrency limit in whole slots.
func (h *Home) limit() int {
	return min(int(h.concurrency.limit), h.slots)
}

// shared is the number of slots that online and batch tickets may take: the
// limit without the reserve.
func (h *Home) shared() int {
	return max(1, min(h.limit(), h.slots-h.reserve))
}

// active counts tickets in use without those being revoked, whose slots are
// about to come free.
func (h *Home) active() int {
	return len(h.running) - h.revoking
}

// kept counts tickets that are not taken off.
func (h *Home) kept() int {
	return len(h.running) - h.batch
}

// pump grants what can start now and revokes batch for what cannot.
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

// next returns the waiter that starts next, or nil.
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

// free reports whether an online or batch ticket may start.
func (h *Home) free() bool {
	return h.active() < h.shared() && len(h.running) < h.slots
}

func (h *Home) nextBatch(now time.Time) (lane, *waiter) {
	if w := h.queues[laneStraggler].next(now); w != nil && h.stragglers < h.stragglerSlots() {
		return laneStraggler, w
	}
	return laneBatch, h.queues[laneBatch].next(now)
}

// stragglerSlots bounds the stragglers that run at once.
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

// hold counts a ticket as in use.
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

// end frees the slot of a ticket and remembers for a while that it is gone.
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

// makeRoom revokes batch tickets for what else needs their slots, and tells
// whether it revoked any.
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

// needed is the number of batch tickets to take off: those above the limit, and
// one for each online request that can have a slot and has none coming free.
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

// leastLoss returns the batch ticket that loses least by being taken off.
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
