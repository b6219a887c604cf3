package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// feedbackLoad is a load on engines of which some fail, for a replay of EndpointFeedback.
type feedbackLoad struct {
	engines, slots, hosts int
	// rate is the number of requests per second, single the share of them that have one attempt.
	rate, single float64
	length       time.Duration
	// wave makes the rate that of Halvorsen's square wave.
	wave bool
	// jobs is the rate of batch jobs of ten items.
	jobs float64
	// fails returns how a use of an engine by a host that begins at a time ends, and after which
	// time, or Finished.
	fails func(r *feedbackReplay, use *feedbackUse) (Outcome, time.Duration)
	// factor is how much longer than usual an engine takes for a step at a time.
	factor func(r *feedbackReplay, engine int, at time.Duration) float64
	// takeover is when another scheduler takes over; zero for never.
	takeover time.Duration
	// crashed is called each tick and reports whether an engine is listed, and when its process
	// started.
	listed func(engine int, at time.Duration) (bool, time.Time)
	// poisoned are the times at which requests come that fail wherever they run; each is sent
	// again once by its client.
	poisoned []time.Duration
	// poisonedItems is the share of batch items that answer 500 wherever they run.
	poisonedItems float64
	// poison is how these end.
	poison Outcome
	seed   uint64
	off    bool
	// objective is that of requests; zero for feedbackObjective.
	objective time.Duration
}

// feedbackUse is a use of an engine.
type feedbackUse struct {
	request *feedbackRequest
	ticket  string
	engine  int
	at      time.Duration
}

// feedbackRequest is a request of a client.
type feedbackRequest struct {
	host        string
	work        string
	repeatable  bool
	poisoned    bool
	attempts    int
	avoid       []string
	tokens      int
	clientTries int
	arrived     time.Duration
}

// feedbackReplay is a replay of a feedbackLoad.
type feedbackReplay struct {
	load    feedbackLoad
	core    *Core
	random  *rand.Rand
	events  eventQueue
	now     time.Duration
	seq     int
	waiting map[string]*feedbackRequest
	running map[string]*feedbackUse
	items   map[string]ItemRef
	// itemsDue are the due times of batch jobs.
	itemsDue map[string]time.Duration
	// failing are what each host knows of endpoints that failed its last uses.
	failing map[string]map[string]*FailingEndpoint
	failAt  map[string]time.Duration
	// lost counts the requests that failed for good, lostSingle those of one attempt, by engine
	// at which they were last.
	lost, lostSingle map[int]int
	// lostSingleAt are the times at which uses of the latter began.
	lostSingleAt map[int][]time.Duration
	// failed and used count the uses by engine, and are those of uses that begin at a time in
	// usedAt.
	failed  map[int]int
	usedAt  map[int][]time.Duration
	singles map[int][]time.Duration
	served  int
	refused int
	// inTime counts the requests served whose first event came within the objective, itemsDone the
	// batch items finished when due.
	inTime, itemsDone int
	// mostReturning is the largest number of engines that are at level returning.
	mostReturning int
	// mostExcluded is the largest number of engines excluded, excludedEver names them.
	mostExcluded int
	excludedEver map[int]bool
	// soundAt is when an engine was last taken for sound again.
	soundAt map[int]time.Duration
	notices map[HealthStep]int
}

func runFeedback(t *testing.T, l feedbackLoad) *feedbackReplay {
	t.Helper()
	if l.hosts == 0 {
		l.hosts = 12
	}
	if l.seed == 0 {
		l.seed = 1
	}
	if l.objective == 0 {
		l.objective = feedbackObjective
	}
	r := &feedbackReplay{
		load: l, random: rand.New(rand.NewPCG(l.seed, 5)), waiting: make(map[string]*feedbackRequest),
		running: make(map[string]*feedbackUse), items: make(map[string]ItemRef),
		itemsDue: make(map[string]time.Duration),
		failing:  make(map[string]map[string]*FailingEndpoint), failAt: make(map[string]time.Duration),
		lostSingleAt: make(map[int][]time.Duration),
		lost:         make(map[int]int), lostSingle: make(map[int]int), failed: make(map[int]int),
		usedAt: make(map[int][]time.Duration), singles: make(map[int][]time.Duration),
		soundAt: make(map[int]time.Duration), excludedEver: make(map[int]bool), notices: make(map[HealthStep]int),
	}
	r.start()
	highest := 1.0
	if l.wave {
		highest = 1.87
	}
	for at := time.Duration(0); at < l.length; {
		at += time.Duration(r.random.ExpFloat64() / (highest * l.rate) * float64(time.Second))
		if l.wave && r.random.Float64() > wave(at)/highest {
			continue
		}
		r.at(at, func() { r.arrive(&feedbackRequest{repeatable: r.random.Float64() >= l.single}) })
	}
	for at := time.Duration(0); l.jobs > 0 && at < l.length; {
		at += time.Duration(r.random.ExpFloat64() / l.jobs * float64(time.Second))
		r.at(at, r.job)
	}
	for i, at := range l.poisoned {
		r.at(at, func() { r.arrive(&feedbackRequest{repeatable: i%2 == 0, poisoned: true}) })
	}
	for at := time.Duration(0); at < l.length; at += 20 * time.Millisecond {
		r.at(at, r.tick)
	}
	if l.takeover > 0 {
		r.at(l.takeover, r.takeOver)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
		r.effects()
	}
	return r
}

func (r *feedbackReplay) at(at time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: at, seq: r.seq, run: do})
}

func (r *feedbackReplay) clock() time.Time { return replayStart.Add(r.now) }

// start creates the core, its hosts and engines.
func (r *feedbackReplay) start() {
	r.core = NewCore(Options{EndpointFeedback: !r.load.off, Host: "h0"})
	r.setEndpoints()
	for h := range r.load.hosts {
		hello := &Hello{Host: fmt.Sprint("h", h), Zone: fmt.Sprint(h % 6), Region: fmt.Sprint(h % 3)}
		for _, f := range r.failing[hello.Host] {
			g := *f
			g.Age = r.now - r.failAt[hello.Host+f.Endpoint]
			hello.Failing = append(hello.Failing, g)
		}
		slices.SortFunc(hello.Failing, func(a, b FailingEndpoint) int { return int(a.Age - b.Age) })
		for _, use := range r.running {
			if use.request != nil && use.request.host == hello.Host {
				hello.Running = append(hello.Running, Running{
					Ticket: use.ticket, Service: "s", Endpoint: engineName(use.engine), Class: Online, Since: r.now - use.at, Tokens: 600,
				})
			}
		}
		slices.SortFunc(hello.Running, func(a, b Running) int { return int(a.Since - b.Since) })
		r.core.Join(r.clock(), hello)
	}
	r.core.SetShare(r.clock(), 1, 1, true)
}

func (r *feedbackReplay) takeOver() {
	r.start()
	waiting := make([]string, 0, len(r.waiting))
	for id := range r.waiting {
		waiting = append(waiting, id)
	}
	slices.Sort(waiting)
	for _, id := range waiting {
		r.core.Acquire(r.clock(), r.waiting[id].host, r.slotRequest(id, r.waiting[id]))
	}
}

func engineName(i int) string { return fmt.Sprintf("e%02d", i) }

func engineIndex(id string) int {
	var i int
	_, _ = fmt.Sscanf(id, "e%d", &i)
	return i
}

func (r *feedbackReplay) setEndpoints() {
	var all []Endpoint
	for i := range r.load.engines {
		e := Endpoint{ID: engineName(i), Service: "s", Zone: fmt.Sprint(i % 6), Region: fmt.Sprint(i % 3), Slots: r.load.slots, CacheTokens: 147261, Started: replayStart}
		if r.load.listed != nil {
			listed, started := r.load.listed(i, r.now)
			if !listed {
				continue
			}
			e.Started = started
		}
		all = append(all, e)
	}
	r.core.SetEndpoints(r.clock(), all)
}

func (r *feedbackReplay) tick() {
	if r.load.listed != nil {
		r.setEndpoints()
	}
	r.core.SetShare(r.clock(), 1, 1, true)
	r.core.Tick(r.clock())
}

func (r *feedbackReplay) arrive(q *feedbackRequest) {
	r.seq++
	q.host = fmt.Sprint("h", r.random.IntN(r.load.hosts))
	if q.work == "" {
		q.work = fmt.Sprint("w", r.seq)
		q.tokens = int(onlineTokens * math.Exp(0.57*r.random.NormFloat64()-0.16))
	}
	q.attempts, q.avoid = 0, nil
	q.clientTries++
	q.arrived = r.now
	r.acquire(q)
}

func (r *feedbackReplay) slotRequest(id string, q *feedbackRequest) SlotRequest {
	return SlotRequest{
		Ticket: id, Request: q.work, Service: "s", Fingerprint: q.work, Objective: r.load.objective, Left: 5 * time.Second,
		PromptTokens: 450, ExpectedTokens: q.tokens, Repeatable: q.repeatable && q.attempts == 0, Avoid: slices.Clone(q.avoid),
	}
}

func (r *feedbackReplay) acquire(q *feedbackRequest) {
	r.seq++
	id := fmt.Sprint("t", r.seq)
	r.waiting[id] = q
	r.core.Acquire(r.clock(), q.host, r.slotRequest(id, q))
}

func (r *feedbackReplay) job() {
	r.seq++
	r.itemsDue[fmt.Sprint("j", r.seq)] = r.now + itemsDue
	for i := range 10 {
		r.core.AddItem(r.clock(), Item{
			Ref: ItemRef{Job: fmt.Sprint("j", r.seq), Item: i}, Service: "s", Due: r.clock().Add(itemsDue), PromptTokens: 350, ExpectedTokens: 800,
		})
	}
}

func (r *feedbackReplay) effects() {
	for effects := r.core.Effects(); len(effects) > 0; effects = r.core.Effects() {
		for _, e := range effects {
			switch e := e.(type) {
			case Grant:
				r.granted(&e)
			case Refuse:
				delete(r.waiting, e.Ticket)
				r.refused++
			case Start:
				r.startedItem(&e)
			case Revoke:
				id := e.Ticket
				if use := r.running[id]; use != nil {
					delete(r.running, id)
					r.at(r.now+revokeDelay, func() { r.core.Done(r.clock(), Usage{Ticket: id, Outcome: Abandoned}) })
				}
			}
		}
	}
	notices, _ := r.core.HealthNotices()
	for i := range notices {
		r.notices[notices[i].Step]++
		if notices[i].Step == StepSound {
			r.soundAt[engineIndex(notices[i].Endpoint)] = r.now
		}
		if notices[i].Step == StepExcluded {
			r.excludedEver[engineIndex(notices[i].Endpoint)] = true
		}
	}
	returning := 0
	for _, s := range r.core.endpoints {
		if s.health.level == healthReturning {
			returning++
		}
	}
	r.mostReturning = max(r.mostReturning, returning)
	for _, c := range r.core.HealthCounts() {
		r.mostExcluded = max(r.mostExcluded, c.Excluded)
	}
}

// takes returns how long an engine takes for a number of tokens.
func (r *feedbackReplay) takes(engine, tokens int) time.Duration {
	if r.load.factor == nil {
		return time.Duration(tokens) * feedbackToken
	}
	took := time.Duration(0)
	for done := 0; done < tokens; done += 12 {
		took += time.Duration(12 * r.load.factor(r, engine, r.now+took) * float64(feedbackToken))
	}
	return took
}

func (r *feedbackReplay) granted(g *Grant) {
	q := r.waiting[g.Ticket]
	if q == nil {
		return
	}
	delete(r.waiting, g.Ticket)
	use := &feedbackUse{request: q, ticket: g.Ticket, engine: engineIndex(g.Endpoint), at: r.now}
	r.usedAt[use.engine] = append(r.usedAt[use.engine], r.now)
	if !q.repeatable {
		r.singles[use.engine] = append(r.singles[use.engine], r.now)
	}
	r.running[use.ticket] = use
	outcome, after := Finished, time.Duration(0)
	if r.load.fails != nil {
		outcome, after = r.load.fails(r, use)
	}
	if q.poisoned {
		outcome, after = r.load.poison, 30*time.Millisecond
	}
	if outcome == Finished {
		if r.now+reportDelay+feedbackFirst <= q.arrived+r.load.objective {
			r.inTime++
		}
		generating := r.takes(use.engine, q.tokens)
		after = feedbackFirst + generating
		r.at(r.now+reportDelay+after, func() {
			r.served++
			r.report(use, Usage{Ticket: use.ticket, Outcome: Finished, First: feedbackFirst, FirstEvent: feedbackFirst, Events: 1 + q.tokens/12, Generating: generating})
		})
		return
	}
	r.at(r.now+reportDelay+after, func() {
		r.failed[use.engine]++
		r.report(use, Usage{Ticket: use.ticket, Outcome: outcome, Work: q.work})
		q.attempts++
		q.avoid = append(q.avoid, engineName(use.engine))
		switch {
		case q.repeatable && q.attempts < 2:
			r.acquire(q)
		case q.poisoned:
			if q.clientTries < 2 {
				r.at(r.now+100*time.Millisecond, func() { r.arrive(q) })
			}
		default:
			r.lost[use.engine]++
			if !q.repeatable {
				r.lostSingle[use.engine]++
				r.lostSingleAt[use.engine] = append(r.lostSingleAt[use.engine], use.at)
			}
		}
	})
}

// report reports the end of a use to the scheduler, and remembers it for the next one.
func (r *feedbackReplay) report(use *feedbackUse, u Usage) {
	if r.running[use.ticket] == nil {
		return
	}
	delete(r.running, use.ticket)
	host, id := use.request.host, engineName(use.engine)
	if r.failing[host] == nil {
		r.failing[host] = make(map[string]*FailingEndpoint)
	}
	if u.Outcome == Finished {
		delete(r.failing[host], id)
	} else {
		f := r.failing[host][id]
		if f == nil {
			f = &FailingEndpoint{Endpoint: id}
			r.failing[host][id] = f
		}
		f.Failures++
		r.failAt[host+id] = r.now
	}
	r.at(r.now+reportDelay, func() { r.core.Done(r.clock(), u) })
}

func (r *feedbackReplay) startedItem(s *Start) {
	use := &feedbackUse{ticket: s.Ticket, engine: engineIndex(s.Endpoint), at: r.now}
	r.running[s.Ticket] = use
	outcome, after := Finished, time.Duration(0)
	if r.load.fails != nil {
		outcome, after = r.load.fails(r, use)
	}
	if r.poisonedItem(s.Item) {
		outcome, after = Errored, 30*time.Millisecond
	}
	if outcome == Finished {
		after = feedbackFirst + r.takes(use.engine, 800)
	}
	item := s.Item
	r.at(r.now+reportDelay+after, func() {
		if r.running[use.ticket] == nil {
			return
		}
		delete(r.running, use.ticket)
		if outcome == Finished {
			r.core.Done(r.clock(), Usage{Ticket: use.ticket, Outcome: Finished, Settled: true, TokensDone: 800})
			r.core.DropItem(r.clock(), item)
			if r.now <= r.itemsDue[item.Job] {
				r.itemsDone++
			}
			return
		}
		r.failed[use.engine]++
		r.core.Done(r.clock(), Usage{Ticket: use.ticket, Outcome: outcome, Delay: 200 * time.Millisecond})
	})
}

// poisonedItem reports whether an item answers 500 wherever it runs.
func (r *feedbackReplay) poisonedItem(ref ItemRef) bool {
	return float64(workOfItem(ref)%1000) < 1000*r.load.poisonedItems
}

func total(counts map[int]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// countBetween counts the times from one to another.
func countBetween(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// failingBetween has the first engines fail uses that begin within a time, each with a probability.
func failingBetween(engines int, from, to time.Duration, probability float64) func(*feedbackReplay, *feedbackUse) (Outcome, time.Duration) {
	return func(r *feedbackReplay, use *feedbackUse) (Outcome, time.Duration) {
		if use.engine < engines && r.now >= from && r.now < to && r.random.Float64() < probability {
			return Errored, 5 * time.Millisecond
		}
		return Finished, 0
	}
}

// wave returns the share of the mean rate at a time: Halvorsen's square wave.
func wave(at time.Duration) float64 {
	if at%(5800*time.Millisecond) < 3400*time.Millisecond {
		return 0.38
	}
	return 1.87
}

// fiveFail is the load of Halvorsen on which five of 60 engines answer 500 at once for 5.2 s.
func fiveFail(seed uint64) feedbackLoad {
	return feedbackLoad{
		engines: 60, slots: 8, rate: 275, single: 0.2, length: 14 * time.Second, seed: seed, jobs: 3.4,
		fails: failingBetween(5, failFrom, failUntil, 1),
	}
}
