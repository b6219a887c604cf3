package scheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The replays of this file run a Core against engines that cache parts of prompts, in six zones
// of three regions.

const (
	// engineStep is the time of a step of an empty engine, engineFull how much longer that of a
	// full one takes.
	engineStep = 2970 * time.Microsecond
	engineFull = 0.06
	// engineTokens is the number of tokens per event.
	engineTokens = 12
	// ownTokens are the tokens of a prompt's own last part.
	ownTokens = 350
	zoneCount = 6
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

// slowQuarter is the ratio of 1.2 to 0.55 of the nominal pace.
const slowQuarter = 1.2 / 0.55

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

// simEngine is an engine that caches parts of prompts.
type simEngine struct {
	id           string
	zone         int
	factor       float64
	running      int
	tokens       int64
	prefillUntil time.Duration
	starts       int
	// cached holds the parts, least recently used first.
	cached []simPart
	size   int64
}

type simPart struct {
	key    string
	tokens int
}

// need returns how many tokens of the parts are not cached, and caches them.
func (e *simEngine) need(capacity int64, ids []string, tokens []int) int {
	need, whole := 0, true
	for i, key := 0, ""; i < len(ids); i++ {
		key += "/" + ids[i]
		whole = whole && slices.ContainsFunc(e.cached, func(p simPart) bool { return p.key == key })
		if !whole {
			need += tokens[i]
		}
	}
	for i := len(ids) - 1; i >= 0; i-- {
		key := ""
		for _, id := range ids[:i+1] {
			key += "/" + id
		}
		if at := slices.IndexFunc(e.cached, func(p simPart) bool { return p.key == key }); at >= 0 {
			e.size -= int64(e.cached[at].tokens)
			e.cached = slices.Delete(e.cached, at, at+1)
		}
		size := (tokens[i] + 15) / 16 * 16
		e.cached, e.size = append(e.cached, simPart{key, size}), e.size+int64(size)
	}
	e.evict(capacity)
	return need
}

func (e *simEngine) evict(capacity int64) {
	n := 0
	for n < len(e.cached) && e.size+e.tokens > capacity {
		e.size -= int64(e.cached[n].tokens)
		n++
	}
	e.cached = slices.Delete(e.cached, 0, n)
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

// halvorsen returns the load of the site with 60 engines, with the given parts.
func halvorsen(prompt func(*rand.Rand, time.Duration) ([]string, []int)) promptLoad {
	return promptLoad{
		engines: 60, slots: 8, hosts: 79, capacity: 147_261, rate: 101, online: peaks(274), prompt: prompt,
		jobs: steady(1), length: 20 * time.Second,
	}
}

// smallParts draws two parts of about 100 tokens: one of 16 first parts and one of 2,046 second ones.
func smallParts(r *rand.Rand, _ time.Duration) ([]string, []int) {
	second := r.IntN(2046)
	return []string{fmt.Sprint("a", second%16), fmt.Sprint("b", second)}, []int{100, 100}
}

// largeParts draws one of 60 parts of 13,300 tokens.
func largeParts(r *rand.Rand, _ time.Duration) ([]string, []int) {
	return []string{fmt.Sprint("p", r.IntN(60))}, []int{13_300}
}

func compare(t *testing.T, l promptLoad, seed uint64) (before, after *promptResult) {
	t.Helper()
	l.weigh = false
	before = runPrompts(l, seed)
	l.weigh = true
	after = runPrompts(l, seed)
	t.Logf("seed %d before: %s", seed, before)
	t.Logf("seed %d after:  %s", seed, after)
	return before, after
}

// checkPrompts fails the test if the new choice has engines read more tokens of shared parts than
// the old one, or callers wait longer. margin is by how much their mean wait may be longer.
func checkPrompts(t *testing.T, seed uint64, before, after *promptResult, margin time.Duration) {
	t.Helper()
	if after.reread >= before.reread {
		t.Errorf("seed %d: %d tokens of shared parts were read, %d before", seed, after.reread, before.reread)
	}
	if after.mean() > before.mean()+margin || after.quantile(0.99) > before.quantile(0.99)+margin {
		t.Errorf("seed %d: the first event came after %s (99 %%: %s), before after %s (99 %%: %s)",
			seed, after.mean(), after.quantile(0.99), before.mean(), before.quantile(0.99))
	}
	if after.late > before.late || after.refused > before.refused {
		t.Errorf("seed %d: %d late and %d refused, before %d and %d", seed, after.late, after.refused, before.late, before.refused)
	}
}

// TestSmallPartsAreReadLess replays parts of 100 tokens, whose reading takes a millisecond: fewer
// tokens are read again, and no request waits for that at a fuller or farther engine.
func TestSmallPartsAreReadLess(t *testing.T) {
	for _, seed := range seeds[:3] {
		l := halvorsen(smallParts)
		before, after := compare(t, l, seed)
		checkPrompts(t, seed, before, after, 0)
		if after.crossed > before.crossed+before.granted/100 {
			t.Errorf("seed %d: %d requests crossed regions, %d before", seed, after.crossed, before.crossed)
		}
	}
}

// TestLargePartsAreReadLess replays parts of 13,300 tokens, of which an engine holds ten, or five
// where it has less memory. The old choice reads seven in ten of them again, for 132 ms or more
// each.
func TestLargePartsAreReadLess(t *testing.T) {
	for _, capacity := range []int64{147_261, 72_000} {
		for _, parallel := range []bool{false, true} {
			l := halvorsen(largeParts)
			l.online, l.capacity, l.parallel = peaks(54), capacity, parallel
			if capacity == 72_000 {
				l.rate = 78.6
			}
			for _, seed := range seeds[:2] {
				before, after := compare(t, l, seed)
				checkPrompts(t, seed, before, after, 0)
				if after.reread > before.reread/2 {
					t.Errorf("seed %d: %d tokens were read, want at most half of %d", seed, after.reread, before.reread)
				}
				if math.Abs(after.rate-l.rate) > l.rate/5 {
					t.Errorf("seed %d: learned that engines read %.1f tokens a millisecond, not %.1f", seed, after.rate, l.rate)
				}
			}
		}
	}
}

// TestMixedPartsAreReadLess replays both sizes of parts at the usual rate.
func TestMixedPartsAreReadLess(t *testing.T) {
	l := halvorsen(func(r *rand.Rand, at time.Duration) ([]string, []int) {
		if r.Float64() < 0.2 {
			return largeParts(r, at)
		}
		return smallParts(r, at)
	})
	for _, seed := range seeds[:2] {
		before, after := compare(t, l, seed)
		checkPrompts(t, seed, before, after, 0)
	}
}

// TestHotPartIsSpread replays one part of 13,300 tokens that all requests want. A model that
// only looks for the part would send all of them to the engine that read it first.
func TestHotPartIsSpread(t *testing.T) {
	l := halvorsen(func(*rand.Rand, time.Duration) ([]string, []int) { return []string{"hot"}, []int{13_300} })
	l.online, l.expected = peaks(100), 60
	for _, seed := range seeds[:3] {
		before, after := compare(t, l, seed)
		// The mean may be longer by a step: the part is read by fewer engines, which are fuller.
		checkPrompts(t, seed, before, after, engineStep)
		most := 0
		for _, n := range after.placed {
			most = max(most, n)
		}
		if len(after.placed) < 10 || most > after.granted/4 {
			t.Errorf("seed %d: %d engines were used, one of them for %d of %d requests", seed, len(after.placed), most, after.granted)
		}
	}
}

// TestBurstForAColdPart has 30 requests for one cold part arrive at once: they follow the first
// ones to a few engines, as long as the wait there is shorter than to read the part elsewhere.
func TestBurstForAColdPart(t *testing.T) {
	c := NewCore(Options{WeighWaits: true})
	c.Join(replayStart, &Hello{Host: "h", Zone: "z", Region: "r"})
	var all []Endpoint
	for i := range 20 {
		all = append(all, Endpoint{ID: fmt.Sprint("e", i), Service: "s", Zone: "z", Region: "r", Slots: 8, CacheTokens: 147_261})
	}
	c.SetEndpoints(replayStart, all)
	for i := range 30 {
		c.Acquire(replayStart, "h", SlotRequest{
			Ticket: fmt.Sprint(i), Service: "s", Objective: replayObjective, Left: 5 * time.Second, PromptTokens: 13_650, ExpectedTokens: 60,
			Prefix: []string{"hot", "own"}, PrefixTokens: []int{13_300, 350},
		})
	}
	read, used := 0, make(map[string]int)
	for _, e := range c.Effects() {
		g := e.(Grant)
		used[g.Endpoint]++
		read += g.Choice.SharedRead
		if g.Choice.Waits.Busy+g.Choice.Waits.Prefill > 200 {
			t.Errorf("a request waits %.0f + %.0f ms for prompts to be read", g.Choice.Waits.Busy, g.Choice.Waits.Prefill)
		}
	}
	if len(used) < 4 || len(used) > 10 || read != len(used)*13_300 {
		t.Errorf("%d engines were used (%v), which read %d tokens", len(used), used, read)
	}
}

// TestSlowEnginesGetShortWork replays a quarter of the engines at half the pace. The old choice
// doesn't know them, and has many requests read large parts there.
func TestSlowEnginesGetShortWork(t *testing.T) {
	l := halvorsen(largeParts)
	l.online, l.slow, l.paceKnown = peaks(120), true, true
	for _, seed := range seeds[:2] {
		before, after := compare(t, l, seed)
		checkPrompts(t, seed, before, after, 0)
		slow := func(o *promptResult) (n int) {
			for i := 3; i < l.engines; i += 4 {
				n += o.placed[fmt.Sprintf("e%02d", i)]
			}
			return n
		}
		if slow(after) > slow(before)/2 {
			t.Errorf("seed %d: %d requests at slow engines, %d before", seed, slow(after), slow(before))
		}
	}
	// With more work than the fast engines have slots, the slow ones do their part.
	l.online, l.jobs, l.prompt = steady(660), nil, smallParts
	if o := runPrompts(withWeights(l), 1); o.refused > o.online/100 || o.placed["e03"] == 0 {
		t.Errorf("at full load: %s", o)
	}
}

func withWeights(l promptLoad) promptLoad {
	l.weigh = true
	return l
}

// TestRestartsLoseWhatWasCached replays engines that restart every six seconds, one after the
// other. A model that ignored restarts would send requests to engines that no longer have
// their parts.
func TestRestartsLoseWhatWasCached(t *testing.T) {
	l := halvorsen(largeParts)
	l.online = peaks(54)
	l.restarts = func(engine int, at time.Duration) int {
		return int((at + time.Duration(engine)*100*time.Millisecond) / (6 * time.Second))
	}
	for _, seed := range seeds[:2] {
		before, after := compare(t, l, seed)
		checkPrompts(t, seed, before, after, 0)
		checkExpected(t, seed, after)
	}
}

// TestRunningRequestsTakeMemory replays engines whose memory the running requests need, so that
// parts are evicted. A model without that would expect parts that are gone.
func TestRunningRequestsTakeMemory(t *testing.T) {
	l := halvorsen(largeParts)
	l.capacity, l.rate, l.online = 72_000, 78.6, peaks(110)
	for _, seed := range seeds[:2] {
		before, after := compare(t, l, seed)
		checkPrompts(t, seed, before, after, 0)
		checkExpected(t, seed, after)
	}
}

// checkExpected fails the test if the scheduler expected other parts to be cached than were.
func checkExpected(t *testing.T, seed uint64, o *promptResult) {
	t.Helper()
	if off := math.Abs(float64(o.held - o.expectedHeld)); off > 0.02*float64(o.held) {
		t.Errorf("seed %d: %d tokens were cached, %d expected", seed, o.held, o.expectedHeld)
	}
}
