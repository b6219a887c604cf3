package scheduler

import (
	"container/heap"
	"sort"
	"time"
)

// planMost bounds the items that are planned at once; those due later wait for
// the next plan.
const planMost = 4096

// plan says of each item whether it is worth to run it before its due time. It
// keeps as many items in time as the slots that batch work gets can finish: items
// are taken in the order in which they are due, and whenever one would be late,
// the one of which the least is done is given up, the last one first. Without it,
// all items would be late together once there are more than can be done. (Moore
// and Hodgson's rule gives up the longest; as long items are to be served as often
// as short ones, it is what is left of an item that counts here, not its length.)
//
// The load it answers: more items than can be done, at engines that are slower than
// they should be. Planned by the time of a sound one, each would end a little late, with
// the slots' time lost for those that could have been in time.
func plan(now time.Time, items []*openItem, slots float64, perToken time.Duration) {
	sort.Slice(items, func(i, j int) bool { return items[i].before(items[j]) })
	items = items[:min(len(items), planMost)]
	var kept leastDone
	var work time.Duration
	for _, i := range items {
		need := time.Duration(plannedShare * float64(i.remaining(now, perToken)))
		i.late = false
		heap.Push(&kept, planned{item: i, need: need, done: i.doneShare(now, perToken)})
		work += need
		// An item takes its whole time in one slot, however many there are.
		wait := time.Duration(float64(work-need) / max(1, slots))
		if now.Add(wait + need + resultTime).After(i.Due) {
			given := heap.Pop(&kept).(planned)
			given.item.late = true
			work -= given.need
		}
	}
}

// planned is an item with the time that it still needs.
type planned struct {
	item *openItem
	need time.Duration
	// done is the share of the item that is there.
	done float64
}

// leastDone has the item on top of which the least is done; among those, the one
// that is due last.
type leastDone []planned

// Len implements heap.Interface.
func (h leastDone) Len() int { return len(h) }

// Less implements heap.Interface.
func (h leastDone) Less(i, j int) bool {
	if h[i].done != h[j].done {
		return h[i].done < h[j].done
	}
	return h[j].item.before(h[i].item)
}

// Swap implements heap.Interface.
func (h leastDone) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *leastDone) Push(x any) { *h = append(*h, x.(planned)) }

// Pop implements heap.Interface.
func (h *leastDone) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	*h = (*h)[:n]
	return x
}
