package scheduler

import (
	"cmp"
	"slices"
	"sort"
)

// minSweptFlows is the number of flows up to which idle ones are kept.
const minSweptFlows = 64

// turnCredit is for how many seconds a workspace may be ahead of the others at the rate of its quota
// before they have turns before it. It is longer than the peaks of the users' sites: without it, the
// second of two requests that a workspace happens to send at once waits for all others at a peak, and
// passes its objective, though nobody sends more than usual.
const turnCredit = 4.0

// turns gives the workspaces of a service their turns, by start-time fair queueing: each waiter has
// a start tag in virtual time, and the lowest one is served first; among equals, the order of arrival
// counts. The order of the waiters of one workspace, "" included, is not changed.
type turns struct {
	lanes map[laneKey]*lane
	// meanTokens is the mean number of tokens of a request.
	meanTokens float64
}

// turn is the place of a waiter in its lane.
type turn struct {
	startTag float64
	seq      uint64
}

func (t turn) compare(o turn) int {
	return cmp.Or(cmp.Compare(t.startTag, o.startTag), cmp.Compare(t.seq, o.seq))
}

func (t turn) before(o turn) bool {
	return t.compare(o) < 0
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

// flow holds the waiters of one workspace in the order in which they are served, which is that of
// their turns. finishTag is the earliest start tag of the next one, without turnCredit.
type flow struct {
	waiters   []*waiter
	finishTag float64
}

// tokens returns the tokens of a request, at least one.
func (r *SlotRequest) tokens() float64 {
	return float64(max(1, r.PromptTokens+r.ExpectedTokens))
}

// turnCost returns how much of its workspace's turn a request takes: its tokens, over the rate of the
// workspace's quota. With equal turns, large workspaces would wait for all others at each peak
// though none sends more than usual. Workspaces without a quota count as those of the mean quota.
func (c *Core) turnCost(request *SlotRequest) float64 {
	return request.tokens() / c.quotas.table.Weight(request.Workspace)
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

// add gives a waiter its turn. It reports whether the turns of others changed.
func (t *turns) add(w *waiter) bool {
	l := t.lane(w)
	f := l.flows[w.Workspace]
	if f == nil {
		f = &flow{}
		l.flows[w.Workspace] = f
	}
	l.waiting++
	if t.meanTokens == 0 {
		t.meanTokens = w.tokens()
	}
	t.meanTokens += averageWeight * (w.tokens() - t.meanTokens)
	start := max(l.virtualTime, f.finishTag)
	f.finishTag = start + w.cost
	w.turn = turn{startTag: max(l.virtualTime, start-turnCredit*t.meanTokens), seq: w.seq}
	at := sort.Search(len(f.waiters), func(i int) bool { return w.precedes(f.waiters[i]) })
	f.waiters = slices.Insert(f.waiters, at, w)
	return f.arrange(at)
}

// arrange gives the turns of the waiters to them in their order, after one was inserted at a place. It
// reports whether the turns of others changed.
func (f *flow) arrange(at int) bool {
	added, last := f.waiters[at], len(f.waiters)-1
	if at == last && (last == 0 || f.waiters[last-1].turn.before(added.turn)) {
		return false
	}
	turns := make([]turn, len(f.waiters))
	for i, w := range f.waiters {
		turns[i] = w.turn
	}
	slices.SortFunc(turns, turn.compare)
	for i, w := range f.waiters {
		w.turn = turns[i]
	}
	return true
}

// remove removes a waiter that was not served, and gives its turn to the next one of its workspace.
// It reports whether the turns of others changed.
func (t *turns) remove(w *waiter) bool {
	l, f, at := t.find(w)
	for _, o := range f.waiters[at+1:] {
		w.turn, o.turn = o.turn, w.turn
	}
	f.waiters = slices.Delete(f.waiters, at, at+1)
	f.finishTag -= w.cost
	l.removed()
	return at < len(f.waiters)
}

// serve removes a waiter that was served.
func (t *turns) serve(w *waiter) {
	l, f, at := t.find(w)
	f.waiters = slices.Delete(f.waiters, at, at+1)
	l.virtualTime = max(l.virtualTime, w.turn.startTag)
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
	return w.turn.before(o.turn)
}

// enqueue adds a waiter to the queue.
func (v *service) enqueue(w *waiter) {
	if v.turns.add(w) {
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
