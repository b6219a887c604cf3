package scheduler

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// drawnLoad drives a Core with drawn inputs, and checks its invariants after each of them.
type drawnLoad struct {
	t      *testing.T
	core   *Core
	random *rand.Rand
	seed   uint64
	now    time.Time
	n      int
	input  string
	// ended are the decisions on requests; running are the tickets in use, in the order of their
	// starts.
	ended   map[string]bool
	running []string
	// absent is what hosts that have left still run.
	absent  map[string][]Running
	items   []ItemRef
	started map[string]time.Time
	digest  uint64
}

const (
	drawnHosts     = 4
	drawnEndpoints = 12
)

func newDrawnLoad(t *testing.T, o Options, seed uint64) *drawnLoad {
	l := &drawnLoad{
		t: t, core: NewCore(o), random: rand.New(rand.NewPCG(seed, 4)), seed: seed, now: replayStart,
		ended: make(map[string]bool), absent: make(map[string][]Running), started: make(map[string]time.Time),
	}
	l.list(1)
	for h := range drawnHosts {
		l.join(fmt.Sprint("h", h))
	}
	return l
}

func (l *drawnLoad) host() string { return fmt.Sprint("h", l.random.IntN(drawnHosts)) }

// repeats reports whether requests may run again: none of them does half of the time, so that items
// and others test endpoints.
func (l *drawnLoad) repeats() bool { return l.now.Sub(replayStart)%(8*time.Second) < 4*time.Second }

func (l *drawnLoad) chance(p float64) bool { return l.random.Float64() < p }

// list lists each endpoint with a probability; some start again, or change their place or slots.
func (l *drawnLoad) list(share float64) {
	var all []Endpoint
	for i := range drawnEndpoints {
		id := fmt.Sprint("e", i)
		if l.started[id].IsZero() || l.chance(0.2) {
			l.started[id] = l.now
		}
		e := Endpoint{
			ID: id, Service: "s", Zone: zone(i), Region: region(i), Version: fmt.Sprint("v", i%2), Slots: 1 + i%4, CacheTokens: 30_000,
			Started: l.started[id], Address: fmt.Sprint("a", i),
		}
		if i%5 == 0 {
			e.RateLimit = 30
		}
		if l.chance(0.05) {
			e.Slots++
		}
		if l.chance(0.02) {
			e.Zone, e.Region = zone(i+1), region(i+1)
		}
		if l.chance(share) {
			all = append(all, e)
		}
	}
	l.core.SetEndpoints(l.now, all)
}

func (l *drawnLoad) join(host string) {
	i := int(host[1] - '0')
	h := &Hello{Host: host, Zone: zone(i), Region: region(i), Running: l.absent[host]}
	for range l.random.IntN(3) {
		h.Failing = append(h.Failing, FailingEndpoint{
			Endpoint: fmt.Sprint("e", l.random.IntN(drawnEndpoints)), Failures: 1 + l.random.IntN(4), Age: time.Duration(l.random.IntN(3000)) * time.Millisecond,
		})
	}
	delete(l.absent, host)
	l.core.Join(l.now, h)
	for i := range h.Running {
		l.running = append(l.running, h.Running[i].Ticket)
	}
}

// leave has a host leave; some of what it runs goes on, and is told when it joins again.
func (l *drawnLoad) leave(host string) {
	for _, id := range l.running {
		t := l.core.tickets[id]
		if t == nil || t.host != host || l.chance(0.5) {
			continue
		}
		r := Running{Ticket: id, Service: "s", Endpoint: t.endpoint.ID, Class: t.class, Since: l.now.Sub(t.since), Tokens: t.tokens}
		if t.item != nil {
			r.Item = &t.item.Ref
		} else {
			r.Prompt, r.Parts = t.chain.Total(), slices.Clone(t.chain.Parts())
		}
		l.absent[host] = append(l.absent[host], r)
	}
	l.core.Leave(l.now, host)
}

func (l *drawnLoad) acquire() {
	l.n++
	ids, tokens := smallParts(l.random, 0)
	if l.chance(0.1) {
		ids, tokens = largeParts(l.random, 0)
	}
	prompt := 350
	for _, n := range tokens {
		prompt += n
	}
	r := SlotRequest{
		Ticket: fmt.Sprint("t", l.n), Service: "s", Objective: replayObjective, Left: 3 * time.Second, Repeatable: l.repeats() && l.chance(0.5),
		Prefix: append(ids, "own"), PrefixTokens: append(tokens, 350), PromptTokens: prompt, ExpectedTokens: 100 + l.random.IntN(200),
		Fingerprint: fmt.Sprint("f", l.random.IntN(40)), Workspace: fmt.Sprint("w", l.random.IntN(3)),
	}
	if l.chance(0.05) {
		version := fmt.Sprint("v", l.random.IntN(2))
		r.Version = &version
	}
	if l.chance(0.05) {
		r.Avoid = []string{fmt.Sprint("e", l.random.IntN(drawnEndpoints))}
	}
	l.core.Acquire(l.now, l.host(), r)
}

// done ends a use. Endpoints e0 to e2 fail most of their uses for a part of the time.
func (l *drawnLoad) done(id string) {
	t := l.core.tickets[id]
	if t == nil {
		return
	}
	u := Usage{
		Ticket: id, Outcome: Finished, First: 40 * time.Millisecond, FirstEvent: 40 * time.Millisecond, Events: 30,
		Generating: time.Duration(300+200*l.random.Float64()) * time.Millisecond, Reusable: l.chance(0.8),
	}
	failing := t.endpoint.ID <= "e2" && t.endpoint.ID != "e10" && t.endpoint.ID != "e11" && (l.now.Sub(replayStart)+2*time.Second)%(8*time.Second) < 4*time.Second
	switch {
	case failing && l.chance(0.8):
		u.Outcome, u.First = []Outcome{Errored, Errored, Failed, Unreachable}[l.random.IntN(4)], 0
	case l.chance(0.1):
		u.Outcome = []Outcome{Abandoned, Refused, Misdirected, Leaving, Unread, LedgerUnread, Errored, Failed}[l.random.IntN(8)]
		u.First = 0
	}
	if t.item != nil {
		u.First, u.TokensDone = 0, t.item.TokensDone+l.random.IntN(200)
		u.Settled = u.Outcome == Finished && l.chance(0.7)
	}
	l.core.Done(l.now, u)
}

// step draws an input.
func (l *drawnLoad) step() {
	l.now = l.now.Add(time.Duration(l.random.IntN(8)) * time.Millisecond)
	c := l.core
	switch x := l.random.IntN(1000); {
	case x < 400:
		l.input = "acquire"
		l.acquire()
	case x < 780:
		l.input = "done"
		if len(l.running) > 0 {
			l.done(l.running[l.random.IntN(len(l.running))])
		}
	case x < 820:
		l.input = "item"
		l.n++
		ref := ItemRef{Job: fmt.Sprint("j", l.n/5), Item: l.n}
		l.items = append(l.items, ref)
		c.AddItem(l.now, Item{Ref: ref, Service: "s", Due: l.now.Add(10 * time.Second), PromptTokens: 350, ExpectedTokens: 500, Prefix: []string{"p", "own"}, PrefixTokens: []int{200, 150}})
	case x < 840:
		l.input = "drop"
		if len(l.items) > 0 {
			i := l.random.IntN(len(l.items))
			c.DropItem(l.now, l.items[i])
			l.items = slices.Delete(l.items, i, i+1)
		}
	case x < 860:
		l.input = "withdraw"
		c.Withdraw(l.now, fmt.Sprint("t", l.n-l.random.IntN(20)))
	case x < 870:
		l.input = "stalled"
		if len(l.running) > 0 {
			c.Stalled(l.now, l.running[l.random.IntN(len(l.running))])
		}
	case x < 880:
		l.input = "list"
		l.list(0.9)
	case x < 884:
		l.input = "leave"
		l.leave(l.host())
	case x < 895:
		l.input = "join"
		if h := l.host(); c.members[h] == nil {
			l.join(h)
		}
	case x < 900:
		l.input = "stranded"
		c.SetStranded(l.now, l.host(), l.chance(0.3), 100*time.Millisecond)
	case x < 905:
		l.input = "share"
		s := 0.5 + 0.5*float64(l.random.IntN(2))
		c.SetShare(l.now, s, s, l.chance(0.9))
	default:
		l.input = "tick"
		c.Tick(l.now)
	}
	l.effects()
	l.check()
}

func (l *drawnLoad) fail(format string, args ...any) {
	l.t.Helper()
	l.t.Fatalf("seed %d, after %s at %s: %s", l.seed, l.input, l.now.Sub(replayStart), fmt.Sprintf(format, args...))
}

// effects takes the decisions, and checks those of them that start work.
func (l *drawnLoad) effects() {
	h := fnv.New64a()
	for _, e := range l.core.Effects() {
		fmt.Fprintf(h, "%d %T", l.digest, e)
		switch e := e.(type) {
		case Grant:
			fmt.Fprint(h, e.Ticket, e.Endpoint)
			l.end(e.Ticket)
			l.start(e.Ticket, e.Endpoint)
		case Start:
			fmt.Fprint(h, e.Ticket, e.Endpoint, e.Host)
			if s := l.start(e.Ticket, e.Endpoint); len(s.tickets) > s.Slots && l.input != "join" {
				l.fail("an item started at %s, which had no free slot", e.Endpoint)
			}
		case Refuse:
			fmt.Fprint(h, e.Ticket, e.Reason, e.RetryAfter)
			l.end(e.Ticket)
		case Revoke:
			fmt.Fprint(h, e.Ticket)
		}
		l.digest = h.Sum64()
	}
	l.running = slices.DeleteFunc(l.running, func(id string) bool { return l.core.tickets[id] == nil })
}

func (l *drawnLoad) end(ticket string) {
	if l.ended[ticket] {
		l.fail("two decisions on %s", ticket)
	}
	l.ended[ticket] = true
}

func (l *drawnLoad) start(ticket, endpoint string) *endpointState {
	s := l.core.endpoints[endpoint]
	if s.heldSlots() > s.Slots && l.input != "join" {
		l.fail("%s has %d tickets and %d slots", endpoint, s.heldSlots(), s.Slots)
	}
	l.running = append(l.running, ticket)
	return s
}

// check checks the state of the core against the tickets.
func (l *drawnLoad) check() {
	c := l.core
	items := make(map[string]int)
	perEndpoint := make(map[*endpointState]int)
	for _, t := range c.tickets {
		if t.item != nil {
			items[t.host]++
		}
		perEndpoint[t.endpoint]++
	}
	for _, m := range c.members {
		if m.runningItems != items[m.name] {
			l.fail("%s runs %d items, %d are counted", m.name, items[m.name], m.runningItems)
		}
	}
	for _, v := range c.services {
		underTest, excluded, listed, listedExcluded := 0, 0, 0, 0
		for _, s := range v.endpoints {
			if len(s.tickets) != perEndpoint[s] || c.endpoints[s.ID] != s {
				l.fail("%s has %d tickets, the core has %d", s.ID, len(s.tickets), perEndpoint[s])
			}
			l.checkEndpoint(s)
			if s.health.level != healthSound {
				underTest++
			}
			if s.listed {
				listed++
			}
			if s.health.level == healthExcluded {
				excluded++
				if s.listed {
					listedExcluded++
				}
			}
		}
		if underTest != v.underTest || excluded != v.excluded || 3*listedExcluded > listed {
			l.fail("%d of %d endpoints are under test, %d are excluded; %d and %d are counted", underTest, listed, excluded, v.underTest, v.excluded)
		}
		if len(v.queue) != len(c.waiting) {
			l.fail("%d requests are queued, %d wait", len(v.queue), len(c.waiting))
		}
	}
}

func (l *drawnLoad) checkEndpoint(s *endpointState) {
	trials, revoked, tokens := 0, 0, int64(0)
	for _, t := range s.tickets {
		tokens += int64(t.tokens)
		if t.trial {
			trials++
		}
		if t.revoked {
			revoked++
		}
	}
	if trials != s.health.trials || revoked != s.revoked || tokens != s.tokens {
		l.fail("%s: %d trials, %d revoked, %d tokens; counted are %d, %d and %d", s.ID, trials, revoked, tokens, s.health.trials, s.revoked, s.tokens)
	}
	if s.choice == nil {
		return
	}
	n, pace := s.cache.Number(), s.choice.paceOf(s)
	r := s.choice.rows[n]
	slack, reading := slowdown(s, pace)+pace-1, pace*(1+othersShare(s)+displacedShare)
	if r.endpoint != s || math.Abs(r.slack-slack) > 1e-9 || math.Abs(r.reading-reading) > 1e-9 {
		l.fail("%s: the row has %.3f and %.3f, the endpoint %.3f and %.3f", s.ID, r.slack, r.reading, slack, reading)
	}
	open := s.listed && s.heldSlots() < s.Slots
	if s.choice.open.Has(n) != open || (open && s.choice.least[n>>6] > slack+1e-9) {
		l.fail("%s: open %v, least slack %.3f, slack %.3f", s.ID, open, s.choice.least[n>>6], slack)
	}
	if s.choice.pool.Group(n>>6) != s.choice.placeOf(place{s.Zone, s.Region}) {
		l.fail("%s is in the group of another zone", s.ID)
	}
	if s.CacheTokens > 0 && s.cache.Cached()+tokens > s.CacheTokens && s.cache.Parts() > 0 {
		l.fail("%s: %d cached and %d running tokens", s.ID, s.cache.Cached(), tokens)
	}
}

// finish ends all work and checks that nothing is left.
func (l *drawnLoad) finish() {
	c := l.core
	l.input = "finish"
	for _, ref := range l.items {
		c.DropItem(l.now, ref)
	}
	for range 1000 {
		l.now = l.now.Add(20 * time.Millisecond)
		for _, id := range slices.Clone(l.running) {
			l.done(id)
		}
		c.Tick(l.now)
		l.effects()
		l.check()
	}
	if len(c.waiting) > 0 || len(c.tickets) > 0 {
		l.fail("%d requests wait, %d tickets are in use", len(c.waiting), len(c.tickets))
	}
	for n := range l.n {
		if id := fmt.Sprint("t", n); c.waiting[id] != nil {
			l.fail("%s waits", id)
		}
	}
	c.SetEndpoints(l.now, nil)
	if v := c.service("s"); len(c.endpoints) > 0 || len(v.endpoints) > 0 || v.underTest != 0 || v.excluded != 0 {
		l.fail("%d endpoints are left, %d under test, %d excluded", len(v.endpoints), v.underTest, v.excluded)
	}
	if v := c.service("s"); v.choice != nil {
		for _, word := range v.choice.open {
			if word != 0 {
				l.fail("endpoints are open that have left")
			}
		}
	}
}

// TestInvariantsWithDrawnInputs guards against decisions and counters of the core that break its
// invariants as endpoint feedback and the choice by waits meet: slots that are granted twice,
// trials and memory that are never released, rows of the choice that are out of date, and
// decisions that depend on the order of a map.
func TestInvariantsWithDrawnInputs(t *testing.T) {
	for _, o := range []Options{{EndpointFeedback: true, WeighWaits: true}, {EndpointFeedback: true}, {WeighWaits: true}, {}} {
		t.Run(fmt.Sprintf("feedback %v, waits %v", o.EndpointFeedback, o.WeighWaits), func(t *testing.T) {
			for _, seed := range seeds {
				var digests [2]uint64
				for i := range digests {
					l := newDrawnLoad(t, o, seed)
					for range 4000 {
						l.step()
					}
					digests[i] = l.digest
					l.finish()
				}
				if digests[0] != digests[1] {
					t.Errorf("seed %d: two runs with the same inputs decide differently", seed)
				}
			}
		})
	}
}
