package scheduler

import (
	"container/heap"
	"time"
)

// itemQueue orders waiting items: first those that are planned to finish in time, by
// due time, then those that are planned to be late.
type itemQueue struct {
	inTime, late itemHeap
	// delayed items wait until their notBefore has passed.
	delayed []*openItem
}

func (q *itemQueue) push(i *openItem) {
	i.state = itemWaiting
	if i.late {
		heap.Push(&q.late, i)
		return
	}
	heap.Push(&q.inTime, i)
}

// pop removes and returns the next item to run, or nil. Items whose delay has passed are popped
// after requeueDelayed.
func (q *itemQueue) pop(now time.Time) *openItem {
	if i := q.popFrom(now, &q.inTime, false); i != nil {
		return i
	}
	return q.popFrom(now, &q.late, true)
}

// popFrom pops the next item of a heap. It skips stale entries: items that no longer
// wait, and items that the last plan moved to the other heap.
func (q *itemQueue) popFrom(now time.Time, h *itemHeap, late bool) *openItem {
	for len(*h) > 0 {
		i := heap.Pop(h).(*openItem)
		switch {
		case i.state != itemWaiting || i.late != late:
		case now.Before(i.notBefore):
			q.delayed = append(q.delayed, i)
		default:
			return i
		}
	}
	return nil
}

// requeueDelayed moves the items whose delay has passed back to their heaps.
func (q *itemQueue) requeueDelayed(now time.Time) {
	kept := q.delayed[:0]
	for _, i := range q.delayed {
		if now.Before(i.notBefore) {
			kept = append(kept, i)
		} else if i.state == itemWaiting {
			q.push(i)
		}
	}
	clear(q.delayed[len(kept):])
	q.delayed = kept
}

// rebuild fills the queue with the waiting items among items, after a plan.
func (q *itemQueue) rebuild(items []*openItem) {
	q.inTime, q.late, q.delayed = nil, nil, nil
	for _, i := range items {
		if i.state == itemWaiting {
			q.push(i)
		}
	}
}

// itemHeap is a min-heap of items by due time.
type itemHeap []*openItem

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) { *h = append(*h, x.(*openItem)) }

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	n := len(*h) - 1
	i := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return i
}
