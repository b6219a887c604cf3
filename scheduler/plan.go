package scheduler

import (
	"container/heap"
	"sort"
	"time"
)

// maxPlannedItems bounds the items of one plan. Items that are due later are left to a
// later plan.
const maxPlannedItems = 4096

// plan sets the field late of each item, so that as many items finish in time as the
// slots for batch work allow. It adds items in the order of their due times. Whenever
// one would be late, it gives up the item of which the smallest fraction is done, and
// among equals the one that is due last. Without a plan, all items would be late once
// there are more than the slots can finish. (Moore and Hodgson's algorithm gives up the
// longest item. Here long items are to finish in time as often as short ones, so the
// fraction done decides, and not the length.)
//
// perToken has to be the measured time per token. When there are more items than can be
// done and engines are slower than usual, a plan by the usual time would make each item
// a little late, and waste slot time of items that could have been in time.
func plan(now time.Time, items []*openItem, slots float64, perToken time.Duration) {
	sort.Slice(items, func(i, j int) bool { return items[i].before(items[j]) })
	items = items[:min(len(items), maxPlannedItems)]
	var inTime leastDoneHeap
	var work time.Duration
	for _, i := range items {
		need := time.Duration(estimateScale * float64(i.remaining(now, perToken)))
		i.late = false
		heap.Push(&inTime, plannedItem{item: i, need: need, done: i.doneFraction(now, perToken)})
		work += need
		// Slots share the work of earlier items, but each item runs in a single slot.
		wait := time.Duration(float64(work-need) / max(1, slots))
		if now.Add(wait + need + resultDelay).After(i.Due) {
			dropped := heap.Pop(&inTime).(plannedItem)
			dropped.item.late = true
			work -= dropped.need
		}
	}
}

// plannedItem is an item and the slot time that it still needs.
type plannedItem struct {
	item *openItem
	need time.Duration
	// done is the fraction of the item that is finished.
	done float64
}

// leastDoneHeap is a min-heap by the fraction done; among equals, the item that is due
// last comes first.
type leastDoneHeap []plannedItem

// Len implements heap.Interface.
func (h leastDoneHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h leastDoneHeap) Less(i, j int) bool {
	if h[i].done != h[j].done {
		return h[i].done < h[j].done
	}
	return h[j].item.before(h[i].item)
}

// Swap implements heap.Interface.
func (h leastDoneHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *leastDoneHeap) Push(x any) { *h = append(*h, x.(plannedItem)) }

// Pop implements heap.Interface.
func (h *leastDoneHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	*h = (*h)[:n]
	return x
}
