package scheduler

import (
	"slices"
	"sort"
)

// minSweptFlows is the number of flows up to which idle ones are kept.
const minSweptFlows = 64

// turns gives the workspaces of a service their turns, by start-time fair queueing: each waiter has
// a start tag in virtual time, and the lowest one is served first. The cost of a request is its
// tokens. The order of the waiters of one workspace, "" included, is not changed.
type turns struct {
	lanes map[laneKey]*lane
}

// laneKey identifies the waiters among which workspaces take turns.
type laneKey struct {
	late     bool
	priority int
}

// lane holds the flows of the waiters of one priority.
type lane struct {
	// virtualTime is the highest start tag that was served since the lane was last empty.
	virtualTime float64
	flows       map[string]*flow
	waiting     int
	// sweepAt is the number of flows above which idle ones are dropped.
	sweepAt int
}

// flow holds the waiters of one workspace in the order in which they are served. Their tags
// increase by their costs. finishTag is the earliest start tag of the next one.
type flow struct {
	waiters   []*waiter
	finishTag float64
}

// cost returns how much of its workspace's turn a request takes.
func (w *waiter) cost() float64 {
	return float64(max(1, w.PromptTokens+w.ExpectedTokens))
}

// precedes reports whether w is served before another waiter of the same workspace.
func (w *waiter) precedes(o *waiter) bool {
	if w.retry != o.retry {
		return w.retry
	}
	return w.seq < o.seq
}

func (t *turns) lane(w *waiter) *lane {
	key := laneKey{late: w.late, priority: w.Priority}
	l := t.lanes[key]
	if l == nil {
		l = &lane{flows: make(map[string]*flow), sweepAt: minSweptFlows}
		if t.lanes == nil {
			t.lanes = make(map[laneKey]*lane)
		}
		t.lanes[key] = l
	}
	return l
}

// add gives a waiter its start tag. It reports whether the order of other waiters changed.
func (t *turns) add(w *waiter) bool {
	l := t.lane(w)
	f := l.flows[w.Workspace]
	if f == nil {
		f = &flow{}
		l.flows[w.Workspace] = f
	}
	l.waiting++
	at := sort.Search(len(f.waiters), func(i int) bool { return w.precedes(f.waiters[i]) })
	if at == len(f.waiters) {
		w.startTag = max(l.virtualTime, f.finishTag)
		f.finishTag = w.startTag + w.cost()
		f.waiters = append(f.waiters, w)
		return false
	}
	w.startTag = f.waiters[at].startTag
	f.shift(at, w.cost())
	f.waiters = slices.Insert(f.waiters, at, w)
	return len(l.flows) > 1
}

// shift adds to the tags of the waiters from a place on, and to the finish tag.
func (f *flow) shift(from int, by float64) {
	for _, o := range f.waiters[from:] {
		o.startTag += by
	}
	f.finishTag += by
}

// remove removes a waiter that was not served: its workspace gets its turn back. It reports
// whether the order of other waiters changed.
func (t *turns) remove(w *waiter) bool {
	l, f, at := t.find(w)
	f.waiters = slices.Delete(f.waiters, at, at+1)
	f.shift(at, -w.cost())
	l.removed()
	return len(l.flows) > 1 && at < len(f.waiters)
}

// serve removes a waiter that was served.
func (t *turns) serve(w *waiter) {
	l, f, at := t.find(w)
	f.waiters = slices.Delete(f.waiters, at, at+1)
	l.virtualTime = max(l.virtualTime, w.startTag)
	l.removed()
}

func (t *turns) find(w *waiter) (*lane, *flow, int) {
	l := t.lane(w)
	f := l.flows[w.Workspace]
	return l, f, slices.Index(f.waiters, w)
}

// removed counts a waiter less, and drops idle flows. A flow without waiters is kept while its
// workspace has been served beyond its turn, unless nobody waits.
func (l *lane) removed() {
	l.waiting--
	if l.waiting == 0 {
		l.virtualTime, l.sweepAt = 0, minSweptFlows
		clear(l.flows)
		return
	}
	if len(l.flows) <= l.sweepAt {
		return
	}
	for name, f := range l.flows {
		if len(f.waiters) == 0 && f.finishTag <= l.virtualTime {
			delete(l.flows, name)
		}
	}
	l.sweepAt = 2*len(l.flows) + minSweptFlows
}

// before reports whether w is served before o.
func (w *waiter) before(o *waiter) bool {
	if w.late != o.late {
		return !w.late
	}
	if w.Priority != o.Priority {
		return w.Priority < o.Priority
	}
	if w.Workspace == o.Workspace {
		return w.precedes(o)
	}
	if w.startTag != o.startTag {
		return w.startTag < o.startTag
	}
	return w.seq < o.seq
}

// enqueue adds a waiter to the queue.
func (v *service) enqueue(w *waiter) {
	reordered := v.turns.add(w)
	if reordered {
		v.sortQueue()
	}
	at := sort.Search(len(v.queue), func(i int) bool { return w.before(v.queue[i]) })
	v.queue = slices.Insert(v.queue, at, w)
}

// queuePosition returns how many requests are served before w.
func (v *service) queuePosition(w *waiter) int {
	return sort.Search(len(v.queue), func(i int) bool { return !v.queue[i].before(w) })
}

// dequeue removes a waiter that was not served.
func (v *service) dequeue(w *waiter) {
	i := slices.Index(v.queue, w)
	if i < 0 {
		return
	}
	v.queue = slices.Delete(v.queue, i, i+1)
	if v.turns.remove(w) {
		v.sortQueue()
	}
}

// serve removes the waiter at a place of the queue, which was granted a slot.
func (v *service) serve(place int) {
	v.turns.serve(v.queue[place])
	v.queue = slices.Delete(v.queue, place, place+1)
}

func (v *service) sortQueue() {
	slices.SortFunc(v.queue, func(a, b *waiter) int {
		switch {
		case a == b:
			return 0
		case a.before(b):
			return -1
		default:
			return 1
		}
	})
}
