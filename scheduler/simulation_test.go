package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The replays run a Core against simulated engines: each request takes a fixed time to
// its first event, then a time per token, and then releases its slot. The loads are those
// of the users' sites.

const (
	// replayToken is the time per token on a full engine of the sites.
	replayToken = 4100 * time.Microsecond
	// replayFirst is the time to the first event in a free slot.
	replayFirst = 40 * time.Millisecond
	// replayObjective is the objective of the sites for the first event of a stream.
	replayObjective = 300 * time.Millisecond
	// onlineTokens and itemTokens are the mean sizes of the sites' generations.
	onlineTokens = 174
	itemTokens   = 1206
	// revokeDelay is the time until a revoked item has released its slot.
	revokeDelay = 20 * time.Millisecond
	// clientRetries is how often a client retries after a refusal.
	clientRetries = 1
)

// replayResult counts the requests and items of a replay by result.
type replayResult struct {
	online, inTime, late, refused, refusedTwice int
	// refusedWithRoom counts the refusals while a slot was free.
	refusedWithRoom    int
	items, itemsInTime int
	starts             int
	// refusedAt is when a request was last refused, startsAfterRefusal the number of items
	// that started at endpoints with a rate limit within overloadYield of it.
	refusedAt          time.Duration
	startsAfterRefusal int
	// startsAt are the times at which requests and items started, by endpoint.
	startsAt map[string][]time.Duration
}

func (o *replayResult) String() string {
	counts := *o
	counts.startsAt = nil
	return fmt.Sprintf("%+v", counts)
}

// event is a function to call at a time of the replay.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	n := len(*a) - 1
	x := (*a)[n]
	*a = (*a)[:n]
	return x
}

// replay is a discrete-event simulation of a Core and its engines.
type replay struct {
	core   *Core
	load   replayLoad
	random *rand.Rand
	events eventQueue
	now    time.Duration
	seq    int
	result replayResult
	// waiting holds the waiting online requests by ticket.
	waiting map[string]*onlineRequest
	// runs holds the runs of items by ticket; sizes, done and due hold the tokens, the
	// finished tokens and the due times of items.
	runs  map[string]*itemRun
	sizes map[ItemRef]int
	done  map[ItemRef]int
	due   map[ItemRef]time.Duration
	lost  int
}

type onlineRequest struct {
	request  SlotRequest
	first    time.Duration
	arrived  time.Duration
	tokens   int
	attempts int
}

type itemRun struct {
	ref     ItemRef
	started time.Duration
	// perToken is the mean time per token of this run.
	perToken time.Duration
	revoked  bool
}

var replayStart = time.Unix(1000, 0)

func runReplay(t *testing.T, l replayLoad, seed uint64) *replayResult {
	t.Helper()
	r := &replay{
		core: NewCore(Options{WeighWaits: l.weigh}), load: l, random: rand.New(rand.NewPCG(seed, 1)),
		waiting: make(map[string]*onlineRequest), runs: make(map[string]*itemRun),
		sizes: make(map[ItemRef]int), done: make(map[ItemRef]int), due: make(map[ItemRef]time.Duration),
	}
	r.core.Join(replayStart, &Hello{Host: "h", Zone: "z", Region: "r"})
	if l.share > 0 {
		r.core.SetShare(replayStart, l.share, l.share, true)
	}
	r.setEndpoints(0)
	r.arrivals(l.online, r.onlineArrives)
	r.arrivals(l.jobs, r.jobArrives)
	for at := time.Duration(0); at < l.length+20*time.Second; at += 20 * time.Millisecond {
		r.at(at, r.tick)
	}
	for len(r.events) > 0 {
		h := heap.Pop(&r.events).(event)
		r.now = h.at
		h.run()
		r.effects()
	}
	return &r.result
}

func (r *replay) at(at time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: at, seq: r.seq, run: do})
}

func (r *replay) clock() time.Time {
	return replayStart.Add(r.now)
}

// arrivals schedules the events of a Poisson process of varying rate.
func (r *replay) arrivals(rate func(time.Duration) float64, arrive func()) {
	if rate == nil {
		return
	}
	highest := 0.0
	for at := time.Duration(0); at < r.load.length; at += 100 * time.Millisecond {
		highest = math.Max(highest, rate(at))
	}
	for at := time.Duration(0); ; {
		at += time.Duration(r.random.ExpFloat64() / highest * float64(time.Second))
		if at >= r.load.length {
			return
		}
		if r.random.Float64() < rate(at)/highest {
			r.at(at, arrive)
		}
	}
}

// setEndpoints passes all endpoints but the given number of unavailable ones, which are the
// first, to the core.
func (r *replay) setEndpoints(unavailable int) {
	var all []Endpoint
	for i := unavailable; i < r.load.endpoints; i++ {
		e := Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "s", Zone: "z", Region: "r", Slots: r.load.slots}
		if r.load.limit != nil {
			e.RateLimit = r.load.limit(i, r.now)
		}
		all = append(all, e)
	}
	r.core.SetEndpoints(r.clock(), all)
}

func (r *replay) tick() {
	if r.load.lost != nil {
		if unavailable := r.load.lost(r.now); unavailable != r.lost {
			r.lost = unavailable
			r.setEndpoints(unavailable)
		}
	}
	if r.load.limit != nil {
		r.setEndpoints(r.lost)
	}
	r.core.Tick(r.clock())
}

// countStart records that a request or item started at an endpoint.
func (r *replay) countStart(endpoint string) {
	if r.result.startsAt == nil {
		r.result.startsAt = make(map[string][]time.Duration)
	}
	r.result.startsAt[endpoint] = append(r.result.startsAt[endpoint], r.now)
}

func (r *replay) onlineArrives() {
	r.result.online++
	tokens := int(r.load.onlineSize() * math.Exp(0.57*r.random.NormFloat64()-0.16))
	r.acquire(&onlineRequest{first: r.now, tokens: tokens})
}

func (r *replay) acquire(q *onlineRequest) {
	r.seq++
	q.arrived = r.now
	q.request = SlotRequest{
		Ticket: fmt.Sprintf("t%d", r.seq), Service: "s", Fingerprint: fmt.Sprint(q.first),
		Objective: r.load.firstObjective(), Left: 5 * time.Second, PromptTokens: 450, ExpectedTokens: q.tokens,
	}
	r.waiting[q.request.Ticket] = q
	r.core.Acquire(r.clock(), "h", q.request)
}

func (r *replay) jobArrives() {
	r.seq++
	job := fmt.Sprintf("j%d", r.seq)
	for i := range 10 {
		ref := ItemRef{Job: job, Item: i}
		r.sizes[ref] = int(r.load.itemSize() * math.Max(0.3, 1+0.25*r.random.NormFloat64()))
		r.due[ref] = r.now + 18*time.Second
		r.result.items++
		r.core.AddItem(r.clock(), Item{
			Ref: ref, Service: "s", Due: replayStart.Add(r.due[ref]), PromptTokens: 350, ExpectedTokens: r.expected(r.sizes[ref]),
		})
	}
}

// expected returns the size estimate for a number of tokens.
func (r *replay) expected(tokens int) int {
	if !r.load.estimated {
		return tokens
	}
	return int(float64(tokens) * math.Exp(estimateSpread*r.random.NormFloat64()))
}

// effects carries out the decisions of the core.
func (r *replay) effects() {
	for effects := r.core.Effects(); len(effects) > 0; effects = r.core.Effects() {
		for _, e := range effects {
			switch e := e.(type) {
			case Grant:
				r.granted(e)
			case Refuse:
				r.refused(e)
			case Start:
				r.started(e)
			case Revoke:
				r.revoked(e)
			}
		}
	}
}

func (r *replay) granted(g Grant) {
	q := r.waiting[g.Ticket]
	delete(r.waiting, g.Ticket)
	r.countStart(g.Endpoint)
	switch {
	case r.now+r.load.firstEvent()-q.arrived > r.load.firstObjective():
		r.result.late++
	default:
		r.result.inTime++
	}
	r.at(r.now+r.load.firstEvent()+r.work(g.Endpoint, q.tokens), func() {
		r.core.Done(r.clock(), Usage{Ticket: g.Ticket, Outcome: Finished, First: r.load.firstEvent()})
	})
}

func (r *replay) refused(f Refuse) {
	q := r.waiting[f.Ticket]
	delete(r.waiting, f.Ticket)
	r.result.refused++
	r.result.refusedAt = r.now
	v := r.core.service("s")
	if v.heldSlots(r.clock()) < v.slotLimit(r.clock(), r.core.share) {
		r.result.refusedWithRoom++
	}
	if q.attempts++; q.attempts > clientRetries {
		r.result.refusedTwice++
		return
	}
	r.at(r.now+f.RetryAfter, func() { r.acquire(q) })
}

func (r *replay) started(s Start) {
	r.result.starts++
	r.countStart(s.Endpoint)
	if r.result.refused > 0 && r.now-r.result.refusedAt < overloadYield && r.core.endpoints[s.Endpoint].pacer != nil {
		r.result.startsAfterRefusal++
	}
	tokens := r.sizes[s.Item] - r.done[s.Item]
	took := r.work(s.Endpoint, tokens)
	run := &itemRun{ref: s.Item, started: r.now, perToken: took / time.Duration(max(1, tokens))}
	r.runs[s.Ticket] = run
	r.at(r.now+replayFirst+took, func() {
		if run.revoked {
			return
		}
		if r.now <= r.due[s.Item] {
			r.result.itemsInTime++
		}
		r.core.Done(r.clock(), Usage{Ticket: s.Ticket, Outcome: Finished, Settled: true, TokensDone: r.sizes[s.Item]})
		r.core.DropItem(r.clock(), s.Item)
	})
}

func (r *replay) revoked(v Revoke) {
	run := r.runs[v.Ticket]
	if run == nil || run.revoked {
		return
	}
	run.revoked = true
	r.done[run.ref] += int(max(0, r.now-run.started-replayFirst) / run.perToken)
	r.at(r.now+revokeDelay, func() {
		r.core.Done(r.clock(), Usage{Ticket: v.Ticket, Outcome: Abandoned, TokensDone: r.done[run.ref]})
	})
}

func share(part, all int) float64 {
	return float64(part) / float64(max(1, all))
}

// seeds are replayed one after the other; each bound has to hold for every seed.
var seeds = []uint64{1, 2, 3, 4, 5}
