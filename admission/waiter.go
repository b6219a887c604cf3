package admission

import "time"

// waiter is a queued request.
type waiter struct {
	req          Request
	seq          uint64
	waitingSince time.Time
	deadline     time.Time
	// key orders the waiters of one customer: the time since which the request
	// has waited, plus waitPerToken for each expected token.
	key time.Time

	queue *queue
	flow  *flow
	// inFlow and inByDeadline are the indexes in the heap of the flow and in
	// Home.byDeadline.
	inFlow       int
	inByDeadline int
	// older and newer link the waiters of a queue in order of arrival.
	older, newer *waiter
}

// cost is the expected work of the request, in generated tokens.
func (w *waiter) cost() float64 {
	return float64(w.req.ExpectedTokens) + float64(w.req.PromptTokens+w.req.PriorTokens)*promptTokenCost + 1
}

// virtualCost is the virtual time charged to the customer for the request: its cost
// divided by the weight.
func (w *waiter) virtualCost() float64 {
	weight := float64(max(w.req.Weight, 1))
	if w.req.AtRisk {
		weight *= atRiskWeightFactor
	}
	return w.cost() / weight
}

// atRiskWeightFactor multiplies the weight of a request whose job may miss its due
// time.
const atRiskWeightFactor = 4

// promptTokenCost is the work of prefilling one prompt token, in generated tokens.
const promptTokenCost = 0.05

// deadlineHeap orders waiters by the time at which their wait expires.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].inByDeadline = i
	h[j].inByDeadline = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.inByDeadline = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	return w
}
