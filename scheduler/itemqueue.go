package scheduler

import (
	"container/heap"
	"time"
)

// itemQueue orders the items that wait: first those that can still be in time,
// the one that is due first before others, then those that are late.
type itemQueue struct {
	inTime, late itemHeap
	// delayed items wait for their next try.
	delayed []*openItem
}

func (q *itemQueue) push(i *openItem) {
	i.state = itemWaiting
	heap.Push(&q.inTime, i)
}

// pop returns the item to run next, or nil.
func (q *itemQueue) pop(now time.Time, perToken time.Duration) *openItem {
	q.wake(now)
	for len(q.inTime) > 0 {
		i := heap.Pop(&q.inTime).(*openItem)
		switch {
		case i.state != itemWaiting:
		case now.Before(i.notBefore):
			q.delayed = append(q.delayed, i)
		case now.Add(i.remaining(perToken)).After(i.Due):
			heap.Push(&q.late, i)
		default:
			return i
		}
	}
	for len(q.late) > 0 {
		i := heap.Pop(&q.late).(*openItem)
		switch {
		case i.state != itemWaiting:
		case now.Before(i.notBefore):
			q.delayed = append(q.delayed, i)
		default:
			return i
		}
	}
	return nil
}

// wake brings the items back whose delay is over.
func (q *itemQueue) wake(now time.Time) {
	kept := q.delayed[:0]
	for _, i := range q.delayed {
		if now.Before(i.notBefore) {
			kept = append(kept, i)
		} else if i.state == itemWaiting {
			heap.Push(&q.inTime, i)
		}
	}
	clear(q.delayed[len(kept):])
	q.delayed = kept
}

// itemHeap orders items by when they are due.
type itemHeap []*openItem

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool { return h[i].Due.Before(h[j].Due) }

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
