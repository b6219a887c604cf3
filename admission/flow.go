package admission

import "container/heap"

// flow holds the waiters of one customer within a lane, in a heap ordered by
// waiter.key, then by arrival.
type flow struct {
	customer string
	waiters  []*waiter
	// startTag is the virtual time at which the customer's next request starts
	// under weighted fair queueing, finishTag that at which the request of the
	// first waiter ends.
	startTag  float64
	finishTag float64
	// seq is the arrival number of the first waiter. index is the position in
	// queue.active, or -1 if the flow has no waiters.
	seq   uint64
	index int
}

func (f *flow) Len() int { return len(f.waiters) }

func (f *flow) Less(i, j int) bool {
	a, b := f.waiters[i], f.waiters[j]
	if !a.key.Equal(b.key) {
		return a.key.Before(b.key)
	}
	return a.seq < b.seq
}

func (f *flow) Swap(i, j int) {
	f.waiters[i], f.waiters[j] = f.waiters[j], f.waiters[i]
	f.waiters[i].inFlow = i
	f.waiters[j].inFlow = j
}

// Push implements heap.Interface.
func (f *flow) Push(x any) {
	w := x.(*waiter)
	w.inFlow = len(f.waiters)
	f.waiters = append(f.waiters, w)
}

// Pop implements heap.Interface.
func (f *flow) Pop() any {
	last := len(f.waiters) - 1
	w := f.waiters[last]
	f.waiters[last] = nil
	f.waiters = f.waiters[:last]
	return w
}

// updateFinishTag sets the flow's finish tag and sequence number from its first
// waiter.
func (f *flow) updateFinishTag() {
	w := f.waiters[0]
	f.finishTag = f.startTag + w.virtualCost()
	f.seq = w.seq
}

// flowHeap orders flows by finish tag, then by the arrival of their first waiters.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].seq < h[j].seq
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	last := len(old) - 1
	f := old[last]
	old[last] = nil
	*h = old[:last]
	return f
}

var (
	_ heap.Interface = (*flow)(nil)
	_ heap.Interface = (*flowHeap)(nil)
	_ heap.Interface = (*deadlineHeap)(nil)
)
