package admission

import (
	"container/heap"
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

// lane identifies one of the queues of a Home.
type lane int

// The lanes of a Home. Stragglers are batch requests with long expected outputs;
// they have a lane of their own so that short batch requests do not wait behind a
// straggler that may not start yet. Home.next defines the precedence of lanes.
const (
	laneExclusive lane = iota
	laneUrgent
	laneOnline
	laneBatch
	laneStraggler
	lanes
)

// Home admits requests to one endpoint. It is a deterministic state machine: each
// input method takes the current time and returns effects, which are valid until
// the next input. It is not safe for concurrent use.
//
// Invariants:
//   - The tickets in use exceed the slots only by those of urgent requests, those
//     of requests with Request.WithoutWait set and those learned from renewals.
//   - An urgent request waits only while all slots are occupied by tickets that
//     are not revocable: urgent, online or non-revocable batch.
//   - Every request ends in exactly one Granted or Refused.
type Home struct {
	opts     Options
	endpoint string
	slots    int
	reserve  int

	running map[string]*ticket
	// Numbers of tickets in running: batch of the revocable ones, revoking of
	// those of them that are being revoked, stragglers of those that count
	// against Options.StragglerShare, exclusive of those with Request.Exclusive set.
	batch, revoking, stragglers, exclusive int

	queues  [lanes]*queue
	waiting map[string]*waiter
	// byDeadline holds all waiters, of every lane.
	byDeadline deadlineHeap
	// seq is the arrival number of the last waiter.
	seq uint64
	// released maps a ticket that has ended to the time until which late requests
	// and renewals for it are rejected.
	released map[string]time.Time

	concurrency concurrency
	drainRates  [lanes]drainRate
	nextSweep   time.Time
	effects     []Effect
}

// NewHome returns a Home for an endpoint with the given number of slots.
func NewHome(endpoint string, slots int, opts Options) *Home {
	h := &Home{
		opts:     opts.withDefaults(),
		endpoint: endpoint,
		running:  make(map[string]*ticket),
		waiting:  make(map[string]*waiter),
		released: make(map[string]time.Time),
	}
	for i := range h.queues {
		h.queues[i] = newQueue(h.opts.Aging)
	}
	h.setSlots(slots)
	h.concurrency.limit = float64(h.slots)
	return h
}

func (h *Home) setSlots(slots int) {
	h.slots = max(slots, 1)
	h.reserve = int(float64(h.slots)*h.opts.ReserveShare + 0.5)
	if h.reserve >= h.slots {
		h.reserve = h.slots - 1
	}
}

// Resize sets the number of slots and, if it has changed, resets the concurrency
// limit to it. Values below one are ignored.
func (h *Home) Resize(now time.Time, slots int) []Effect {
	h.resetEffects()
	if slots != h.slots && slots > 0 {
		h.setSlots(slots)
		h.concurrency.limit = float64(h.slots)
	}
	return h.schedule(now)
}

// Acquire handles a request for a ticket. It is idempotent: a request for a ticket in
// use renews its lease and grants it again.
func (h *Home) Acquire(now time.Time, req *Request) []Effect {
	h.resetEffects()
	if t := h.running[req.Ticket]; t != nil {
		t.expiry = now.Add(h.opts.Lease)
		h.emit(Granted{Ticket: req.Ticket, Entry: req.Entry})
		return h.effects
	}
	if h.waiting[req.Ticket] != nil {
		return h.effects
	}
	if _, found := h.released[req.Ticket]; found {
		// The release arrived before the request.
		h.emit(Refused{Ticket: req.Ticket, Entry: req.Entry, Reason: ReasonAbandoned})
		return h.effects
	}
	if req.WithoutWait {
		h.start(now, req, 0)
		return h.schedule(now)
	}
	h.enqueue(now, req)
	h.schedule(now)
	h.refuseIfNoWait(now, req)
	return h.effects
}

// refuseIfNoWait refuses a request that was queued although its maximum wait is zero.
func (h *Home) refuseIfNoWait(now time.Time, req *Request) {
	if w := h.waiting[req.Ticket]; w != nil && req.WaitMillis <= 0 {
		h.refuse(now, w, ReasonBusy)
	}
}

// Abandon withdraws a queued request or releases its ticket if it was granted.
func (h *Home) Abandon(now time.Time, id string) []Effect {
	h.resetEffects()
	if w := h.waiting[id]; w != nil {
		h.refuse(now, w, ReasonAbandoned)
	}
	h.endTicket(now, id)
	return h.schedule(now)
}

// Release ends a ticket and records the latencies measured by its entry.
func (h *Home) Release(now time.Time, r *Release) []Effect {
	h.resetEffects()
	h.concurrency.sample(r.Times)
	h.endTicket(now, r.Ticket)
	return h.schedule(now)
}

// Renew extends the leases of the tickets that an entry holds. Unknown tickets are
// added as in use, so that a new home learns which streams run at the endpoint.
func (h *Home) Renew(now time.Time, tickets []Running) []Effect {
	h.resetEffects()
	for i := range tickets {
		h.renew(now, &tickets[i])
	}
	return h.schedule(now)
}

func (h *Home) renew(now time.Time, r *Running) {
	if _, found := h.released[r.Ticket]; found {
		return
	}
	t := h.running[r.Ticket]
	if t == nil {
		t = h.addTicket(now, &r.Request)
	}
	t.expiry = now.Add(h.opts.Lease)
	t.tokens = max(t.tokens, r.Tokens)
	h.concurrency.sample(r.Times)
	if t.revoked {
		// Repeat the revocation: the first message may have been lost.
		h.emit(Revoke{Ticket: t.req.Ticket, Entry: t.req.Entry})
	}
}

// Tick refuses expired waiters, ends tickets whose lease has expired and adjusts
// the concurrency limit.
func (h *Home) Tick(now time.Time) []Effect {
	h.resetEffects()
	for len(h.byDeadline) > 0 && !h.byDeadline[0].deadline.After(now) {
		h.refuse(now, h.byDeadline[0], ReasonExpired)
	}
	for id, t := range h.running {
		if !t.expiry.After(now) {
			h.endTicket(now, id)
		}
	}
	h.concurrency.adjust(now, h.slots, &h.opts)
	h.sweep(now)
	return h.schedule(now)
}

// sweep removes released tickets that no in-flight request or renewal can refer to
// any more.
func (h *Home) sweep(now time.Time) {
	if now.Before(h.nextSweep) {
		return
	}
	h.nextSweep = now.Add(h.opts.Lease)
	for id, until := range h.released {
		if !until.After(now) {
			delete(h.released, id)
		}
	}
}

// Idle reports whether the home has no tickets, no waiters and no recently released
// tickets, and may be discarded.
func (h *Home) Idle() bool {
	return len(h.running) == 0 && len(h.waiting) == 0 && len(h.released) == 0
}

// Load returns the current load of the endpoint, without its adapters.
func (h *Home) Load() Load {
	return Load{
		Endpoint:         h.endpoint,
		Slots:            h.slots,
		Limit:            h.sharedLimit(),
		Running:          len(h.running),
		Batch:            h.batch,
		Waiting:          h.queues[laneExclusive].size + h.queues[laneUrgent].size + h.queues[laneOnline].size,
		WaitingBatch:     h.queues[laneBatch].size + h.queues[laneStraggler].size,
		FirstTokenMicros: int64(h.concurrency.firstToken),
		TokenMicros:      int64(h.concurrency.perToken),
	}
}

func (h *Home) resetEffects() {
	clear(h.effects)
	h.effects = h.effects[:0]
}

func (h *Home) emit(e Effect) {
	h.effects = append(h.effects, e)
}

func (h *Home) laneOf(req *Request) lane {
	switch {
	case req.Exclusive:
		return laneExclusive
	case req.Class == objects.ClassUrgent:
		return laneUrgent
	case req.Class == objects.ClassOnline:
		return laneOnline
	case h.isStraggler(req):
		return laneStraggler
	default:
		return laneBatch
	}
}

func (h *Home) isStraggler(req *Request) bool {
	return req.Class == objects.ClassBatch && req.ExpectedTokens >= h.opts.StragglerTokens
}

func (h *Home) enqueue(now time.Time, req *Request) {
	l := h.laneOf(req)
	q := h.queues[l]
	if q.size >= h.opts.Queue || q.waiting(req.Customer) >= h.opts.CustomerQueue {
		retry := h.drainRates[l].retryAfter(now, q.size)
		h.emit(Refused{Ticket: req.Ticket, Entry: req.Entry, Reason: ReasonFull, RetryAfter: retry})
		return
	}
	h.seq++
	since := now.Add(-time.Duration(req.WaitedMillis) * time.Millisecond)
	w := &waiter{
		req:          *req,
		seq:          h.seq,
		waitingSince: since,
		deadline:     now.Add(time.Duration(req.WaitMillis) * time.Millisecond),
		key:          since.Add(time.Duration(req.ExpectedTokens) * waitPerToken),
	}
	h.waiting[req.Ticket] = w
	heap.Push(&h.byDeadline, w)
	q.push(w)
}

func (h *Home) dequeue(w *waiter) {
	delete(h.waiting, w.req.Ticket)
	heap.Remove(&h.byDeadline, w.inByDeadline)
}

func (h *Home) refuse(now time.Time, w *waiter, reason Reason) {
	h.dequeue(w)
	size := w.queue.size
	w.queue.remove(w)
	retry := h.drainRates[h.laneOf(&w.req)].retryAfter(now, size)
	h.emit(Refused{Ticket: w.req.Ticket, Entry: w.req.Entry, Reason: reason, RetryAfter: retry})
}
