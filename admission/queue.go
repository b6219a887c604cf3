package admission

import (
	"container/heap"
	"time"
)

const (
	// waitPerToken converts expected tokens to queueing time within a customer's
	// queue: a request may overtake an older one of the same customer that
	// arrived at most this much earlier for each token by which it is shorter.
	waitPerToken = 20 * time.Millisecond
	// agingGrants is the number of grants to other waiters after which the oldest
	// waiter is granted next, once it has waited longer than Options.Aging.
	agingGrants = 3
	// minSweepFlows is the number of flows up to which idle flows are not swept.
	minSweepFlows = 64
)

// queue holds the waiters of one lane. Customers are served by weighted
// self-clocked fair queueing: virtual time is the finish tag of the last grant,
// and the flow with the lowest finish tag is served first. All operations take
// time logarithmic in the number of waiters. The flow of a customer is dropped
// once it has no waiters and its start tag is not ahead of virtual time.
type queue struct {
	aging       time.Duration
	flows       map[string]*flow
	active      flowHeap
	virtualTime float64
	size        int
	// grantsSinceOldest is the number of grants since the oldest waiter was last
	// granted.
	grantsSinceOldest int
	// sweepAt is the number of flows above which idle flows are swept.
	sweepAt int
	oldest  *waiter
	newest  *waiter
}

func newQueue(aging time.Duration) *queue {
	return &queue{aging: aging, flows: make(map[string]*flow), sweepAt: minSweepFlows}
}

// waiting returns the number of waiters of one customer.
func (q *queue) waiting(customer string) int {
	if f := q.flows[customer]; f != nil {
		return len(f.waiters)
	}
	return 0
}

func (q *queue) push(w *waiter) {
	f := q.flows[w.req.Customer]
	if f == nil {
		f = &flow{customer: w.req.Customer, index: -1}
		q.flows[f.customer] = f
	}
	w.queue = q
	w.flow = f
	heap.Push(f, w)
	q.reposition(f)
	q.link(w)
	q.size++
}

// reposition updates the finish tag of a flow with waiters and its position in the
// heap. A flow that had no waiters starts no earlier than virtual time, so that a
// customer accumulates no credit while idle.
func (q *queue) reposition(f *flow) {
	if f.index < 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		f.updateFinishTag()
		heap.Push(&q.active, f)
		return
	}
	f.updateFinishTag()
	heap.Fix(&q.active, f.index)
}

func (q *queue) link(w *waiter) {
	w.older = q.newest
	if q.newest != nil {
		q.newest.newer = w
	} else {
		q.oldest = w
	}
	q.newest = w
}

func (q *queue) unlink(w *waiter) {
	if w.older != nil {
		w.older.newer = w.newer
	} else {
		q.oldest = w.newer
	}
	if w.newer != nil {
		w.newer.older = w.older
	} else {
		q.newest = w.older
	}
	w.older, w.newer = nil, nil
}

// next returns the waiter to be granted next, or nil if the queue is empty.
func (q *queue) next(now time.Time) *waiter {
	if q.size == 0 {
		return nil
	}
	if q.grantsSinceOldest >= agingGrants && now.Sub(q.oldest.waitingSince) > q.aging {
		return q.oldest
	}
	return q.active[0].waiters[0]
}

// grant removes w and charges its cost to its customer.
func (q *queue) grant(w *waiter) {
	if w == q.oldest {
		q.grantsSinceOldest = 0
	} else {
		q.grantsSinceOldest++
	}
	f := w.flow
	if w == q.active[0].waiters[0] {
		q.virtualTime = max(q.virtualTime, f.finishTag)
	}
	f.startTag += w.virtualCost()
	q.remove(w)
}

// remove removes w without charging its customer.
func (q *queue) remove(w *waiter) {
	f := w.flow
	heap.Remove(f, w.inFlow)
	q.unlink(w)
	q.size--
	if len(f.waiters) > 0 {
		q.reposition(f)
	} else {
		heap.Remove(&q.active, f.index)
		f.index = -1
	}
	q.dropIdleFlows()
}

// dropIdleFlows drops idle flows: all of them when the queue is empty, otherwise those
// whose start tag is not ahead of virtual time. In the second case it sweeps only
// when the number of flows has doubled since the last sweep, so that the amortized
// cost of a grant stays constant.
func (q *queue) dropIdleFlows() {
	if q.size == 0 {
		q.reset()
		return
	}
	if len(q.flows) <= q.sweepAt {
		return
	}
	for name, f := range q.flows {
		if len(f.waiters) == 0 && f.startTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
	q.sweepAt = 2*len(q.flows) + minSweepFlows
}

func (q *queue) reset() {
	q.virtualTime = 0
	if q.sweepAt == minSweepFlows && len(q.flows) <= minSweepFlows {
		clear(q.flows)
		return
	}
	// Clearing a map takes time proportional to its capacity, which a past burst
	// may have made large.
	q.flows = make(map[string]*flow)
	q.sweepAt = minSweepFlows
}
