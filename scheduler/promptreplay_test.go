package scheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// promptLoad is the load and the deployment of a replay with prompts.
type promptLoad struct {
	engines, slots, hosts int
	// capacity is the memory of an engine in tokens, rate how many prompt tokens it reads per
	// millisecond.
	capacity int64
	rate     float64
	// online returns the arrival rate at a time, prompt draws the shared parts of a prompt.
	online func(time.Duration) float64
	prompt func(r *rand.Rand, at time.Duration) (ids []string, tokens []int)
	// jobs returns the arrival rate of batch jobs of ten items.
	jobs   func(time.Duration) float64
	length time.Duration
	// slow makes every fourth engine slower, by the factor slowQuarter. The scheduler knows
	// it if paceKnown is set.
	slow, paceKnown bool
	// restarts are the times at which all engines lose what they cached, one at each time.
	restarts func(engine int, at time.Duration) int
	// parallel makes engines read several prompts at the same time, and each from the start
	// unless it was cached when it arrived.
	parallel bool
	// expected is the mean number of tokens of an answer; zero means onlineTokens.
	expected float64
	weigh    bool
}

// promptResult is what a replay with prompts measures.
type promptResult struct {
	online, granted, late, refused int
	// reread and held are the tokens of shared parts that engines read, and found cached.
	reread, held int
	// expectedHeld are those that the scheduler expected to be cached.
	expectedHeld int
	firsts       []time.Duration
	// placed counts the requests by engine, crossed those between regions.
	placed  map[string]int
	crossed int
	items   int
	rate    float64
}

func (o *promptResult) mean() time.Duration {
	sum := time.Duration(0)
	for _, f := range o.firsts {
		sum += f
	}
	return sum / time.Duration(max(1, len(o.firsts)))
}

func (o *promptResult) quantile(q float64) time.Duration {
	if len(o.firsts) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.firsts))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (o *promptResult) String() string {
	return fmt.Sprintf("%d online, %d granted, %d late, %d refused; first event mean %s, 90 %% %s, 99 %% %s; shared tokens read %d, held %d (expected %d); %d between regions, %d items, rate %.0f",
		o.online, o.granted, o.late, o.refused, o.mean().Round(100*time.Microsecond), o.quantile(0.9).Round(time.Millisecond),
		o.quantile(0.99).Round(time.Millisecond), o.reread, o.held, o.expectedHeld, o.crossed, o.items, o.rate)
}

// promptReplay is a discrete-event simulation of a Core and engines that cache prompts.
type promptReplay struct {
	core    *Core
	load    promptLoad
	random  *rand.Rand
	events  eventQueue
	now     time.Duration
	seq     int
	engines map[string]*simEngine
	waiting map[string]*promptRequest
	items   map[ItemRef]*promptRequest
	runs    map[string]*promptRequest
	idle    map[string]int
	result  promptResult
}

type promptRequest struct {
	ids     []string
	shared  []int
	prompt  int
	tokens  int
	host    int
	arrived time.Duration
	engine  *simEngine
	ended   bool
	ticket  string
	item    *ItemRef
	first   time.Duration
}

func runPrompts(l promptLoad, seed uint64) *promptResult {
	r := &promptReplay{
		core: NewCore(Options{WeighWaits: l.weigh}), load: l, random: rand.New(rand.NewPCG(seed, 5)),
		engines: make(map[string]*simEngine), waiting: make(map[string]*promptRequest), items: make(map[ItemRef]*promptRequest),
		runs: make(map[string]*promptRequest), idle: make(map[string]int),
	}
	r.result.placed = make(map[string]int)
	for h := range l.hosts {
		r.core.Join(replayStart, &Hello{Host: fmt.Sprint(h), Zone: zone(h), Region: region(h)})
	}
	for i := range l.engines {
		e := &simEngine{id: fmt.Sprintf("e%02d", i), zone: i % zoneCount, factor: 1}
		if l.slow && i%4 == 3 {
			e.factor = slowQuarter
		}
		r.engines[e.id] = e
	}
	if v := r.core.service("s"); v.choice != nil && l.paceKnown {
		v.choice.pace = func(s *endpointState) float64 { return r.engines[s.ID].factor }
	}
	r.setEndpoints()
	r.arrivals(l.online, r.arrives)
	if l.jobs != nil {
		r.arrivals(l.jobs, r.jobArrives)
	}
	for at := time.Duration(0); at < l.length+15*time.Second; at += 20 * time.Millisecond {
		r.at(at, r.tick)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
		r.effects()
	}
	if v := r.core.service("s"); v.choice != nil {
		r.result.rate = v.choice.rate.TokensPerMillisecond()
	}
	return &r.result
}

func zone(i int) string { return fmt.Sprint("z", i%zoneCount) }

func region(i int) string { return fmt.Sprint("r", i%zoneCount/2) }

func (r *promptReplay) setEndpoints() {
	var all []Endpoint
	for i := range r.load.engines {
		e := r.engines[fmt.Sprintf("e%02d", i)]
		all = append(all, Endpoint{
			ID: e.id, Service: "s", Zone: zone(i), Region: region(i), Slots: r.load.slots, CacheTokens: r.load.capacity,
			Started: time.Unix(int64(e.starts), 0),
		})
	}
	r.core.SetEndpoints(r.clock(), all)
}

func (r *promptReplay) tick() {
	changed := false
	if r.load.restarts != nil {
		for i := range r.load.engines {
			e := r.engines[fmt.Sprintf("e%02d", i)]
			if n := r.load.restarts(i, r.now); n != e.starts {
				e.starts, e.cached, e.size, e.prefillUntil = n, nil, 0, 0
				changed = true
			}
		}
	}
	if changed {
		r.setEndpoints()
	}
	r.core.Tick(r.clock())
}

func (r *promptReplay) at(at time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: at, seq: r.seq, run: do})
}

func (r *promptReplay) clock() time.Time { return replayStart.Add(r.now) }

func (r *promptReplay) arrivals(rate func(time.Duration) float64, arrive func()) {
	highest := 0.0
	for at := time.Duration(0); at < r.load.length; at += 100 * time.Millisecond {
		highest = max(highest, rate(at))
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

// draw returns a request with a prompt.
func (r *promptReplay) draw(mean float64) *promptRequest {
	ids, shared := r.load.prompt(r.random, r.now)
	q := &promptRequest{ids: ids, shared: shared, prompt: ownTokens, arrived: r.now}
	for _, n := range shared {
		q.prompt += n
	}
	q.tokens = max(1, int(mean*math.Exp(0.57*r.random.NormFloat64()-0.16)))
	return q
}

func (q *promptRequest) parts() ([]string, []int) {
	return append(slices.Clone(q.ids), "own"), append(slices.Clone(q.shared), ownTokens)
}

func (r *promptReplay) arrives() {
	r.result.online++
	r.seq++
	q := r.draw(cmp.Or(r.load.expected, onlineTokens))
	q.ticket, q.host = fmt.Sprint("t", r.seq), r.random.IntN(r.load.hosts)
	r.waiting[q.ticket] = q
	ids, tokens := q.parts()
	r.core.Acquire(r.clock(), fmt.Sprint(q.host), SlotRequest{
		Ticket: q.ticket, Service: "s", Objective: replayObjective, Left: 5 * time.Second,
		PromptTokens: q.prompt, ExpectedTokens: q.tokens, Prefix: ids, PrefixTokens: tokens,
	})
}

func (r *promptReplay) jobArrives() {
	r.seq++
	for i := range 10 {
		q := r.draw(itemTokens)
		q.item = &ItemRef{Job: fmt.Sprint("j", r.seq), Item: i}
		r.items[*q.item] = q
		ids, tokens := q.parts()
		r.core.AddItem(r.clock(), Item{
			Ref: *q.item, Service: "s", Due: r.clock().Add(18 * time.Second),
			PromptTokens: q.prompt, ExpectedTokens: q.tokens, Prefix: ids, PrefixTokens: tokens,
		})
	}
}

func (r *promptReplay) effects() {
	for effects := r.core.Effects(); len(effects) > 0; effects = r.core.Effects() {
		for _, e := range effects {
			switch e := e.(type) {
			case Grant:
				q := r.waiting[e.Ticket]
				delete(r.waiting, e.Ticket)
				r.result.granted++
				r.result.placed[e.Endpoint]++
				if e.Choice != nil {
					r.result.expectedHeld += e.Choice.SharedHeld
				}
				r.start(q, r.engines[e.Endpoint])
			case Refuse:
				delete(r.waiting, e.Ticket)
				r.result.refused++
			case Start:
				q := r.items[e.Item]
				q.ticket, q.ended, q.arrived = e.Ticket, false, r.now
				r.start(q, r.engines[e.Endpoint])
			case Revoke:
				if q := r.runs[e.Ticket]; q != nil && !q.ended {
					r.release(q)
					ticket := e.Ticket
					r.at(r.now+revokeDelay, func() { r.core.Done(r.clock(), Usage{Ticket: ticket, Outcome: Abandoned}) })
				}
			}
		}
	}
}

// start has an engine run a request.
func (r *promptReplay) start(q *promptRequest, e *simEngine) {
	q.engine = e
	r.runs[q.ticket] = q
	e.running++
	e.tokens += int64(q.prompt + q.tokens)
	trip := zoneRoundTrip
	switch {
	case region(q.host) != region(e.zone):
		trip = crossRegionTrip
		r.result.crossed++
	case zone(q.host) != zone(e.zone):
		trip = crossZoneTrip
	}
	if key := fmt.Sprint(q.host, e.id); r.idle[key] > 0 {
		r.idle[key]--
	} else {
		trip += trip + 1
	}
	at := r.now + time.Duration(trip*float64(time.Millisecond))
	if !r.load.parallel {
		at = max(at, e.prefillUntil)
	}
	need := e.need(r.load.capacity, q.ids, q.shared)
	if q.item == nil {
		r.result.reread += need
		for _, n := range q.shared {
			r.result.held += n
		}
		r.result.held -= need
	}
	read := time.Duration(float64(need+ownTokens) / r.load.rate * e.factor * float64(time.Millisecond))
	e.prefillUntil = at + read
	step := time.Duration(float64(engineStep) * e.factor * (1 + engineFull*float64(e.running)/float64(r.load.slots)))
	first := at + read + engineTokens*step
	q.first = first - q.arrived
	ticket := q.ticket
	r.at(max(first, first+time.Duration(q.tokens-engineTokens)*step), func() {
		if q.ended || q.ticket != ticket {
			return
		}
		r.release(q)
		u := Usage{Ticket: ticket, Outcome: Finished, Reusable: true}
		if q.item == nil {
			u.First = first - q.arrived
			r.result.firsts = append(r.result.firsts, q.first)
			if q.first > replayObjective {
				r.result.late++
			}
			r.idle[fmt.Sprint(q.host, e.id)]++
		} else {
			u.Settled, u.TokensDone = true, q.tokens
			r.result.items++
		}
		r.core.Done(r.clock(), u)
		if q.item != nil {
			r.core.DropItem(r.clock(), *q.item)
		}
	})
}

func (r *promptReplay) release(q *promptRequest) {
	q.ended = true
	delete(r.runs, q.ticket)
	q.engine.running--
	q.engine.tokens -= int64(q.prompt + q.tokens)
	q.engine.evict(r.load.capacity)
}
