package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/promptcache"
)

// termPool returns a core with one host in zone a1 of region a, and endpoints near and far.
func termPool(endpoints ...Endpoint) (*Core, *service, *placement) {
	c := NewCore(Options{WeighWaits: true})
	c.Join(replayStart, &Hello{Host: "h", Zone: "a1", Region: "a"})
	for i := range endpoints {
		endpoints[i].Service = "s"
		if endpoints[i].Slots == 0 {
			endpoints[i].Slots = 8
		}
		if endpoints[i].Zone == "" {
			endpoints[i].Zone, endpoints[i].Region = "a1", "a"
		}
	}
	c.SetEndpoints(replayStart, endpoints)
	chain := promptcache.NewChain("", nil, nil, 450)
	return c, c.service("s"), &placement{host: c.members["h"], chain: &chain, tokens: 620, expected: 170, left: replayObjective}
}

// at returns the terms of the cost of an endpoint.
func at(c *Core, v *service, p *placement, id string) Waits {
	k, s := v.weights(p), c.endpoints[id]
	return p.waits(replayStart, &k, s, s.cache.Held(p.chain))
}

func within(t *testing.T, name string, got, low, high float64) {
	t.Helper()
	if got < low || got > high || math.IsNaN(got) {
		t.Errorf("%s: %.2f ms, want %.2f to %.2f", name, got, low, high)
	}
}

// TestDistanceAndConnection guards against a distance that is weighed as something else than a
// round trip, and against connections that are taken for free.
func TestDistanceAndConnection(t *testing.T) {
	c, v, p := termPool(
		Endpoint{ID: "same"}, Endpoint{ID: "zone", Zone: "a2", Region: "a"}, Endpoint{ID: "region", Zone: "b1", Region: "b"}, Endpoint{ID: "open"},
	)
	c.endpoints["open"].keepConnection(replayStart, "h")
	within(t, "distance in the zone", at(c, v, p, "same").Distance, 0, 0.5)
	within(t, "distance between zones", at(c, v, p, "zone").Distance, 1, 1.8)
	within(t, "distance between regions", at(c, v, p, "region").Distance, 16, 24)
	within(t, "connection in the zone", at(c, v, p, "same").Connection, 1, 1.5)
	within(t, "connection between zones", at(c, v, p, "zone").Connection, 2, 2.8)
	within(t, "connection between regions", at(c, v, p, "region").Connection, 17, 17)
	within(t, "open connection", at(c, v, p, "open").Connection, 0, 0)
}

// TestLoadAndFreeing guards against a load that is not weighed, or outweighs everything.
func TestLoadAndFreeing(t *testing.T) {
	c, v, p := termPool(Endpoint{ID: "e"})
	s := c.endpoints["e"]
	within(t, "empty", at(c, v, p, "e").Load, 0, 0)
	last := 0.0
	for i := range 8 {
		within(t, "freeing", at(c, v, p, "e").Freeing, 0, 0)
		s.add(&ticket{id: fmt.Sprint(i), tokens: 100})
		w := at(c, v, p, "e")
		within(t, "another request", w.Load-last, 0.3, 2)
		last = w.Load
	}
	within(t, "freeing", at(c, v, p, "e").Freeing, 10, 30)
}

// TestPrefillAndBusy guards against prompts whose reading is not weighed, at the endpoint that
// reads them and for those that come after.
func TestPrefillAndBusy(t *testing.T) {
	c, v, p := termPool(Endpoint{ID: "e"}, Endpoint{ID: "slow"})
	v.choice.pace = func(s *endpointState) float64 {
		if s.ID == "slow" {
			return 2
		}
		return 1
	}
	chain := promptcache.NewChain("", []string{"p", "own"}, []int{13_300, 350}, 13_650)
	p.chain = &chain
	cold := 13_650 / promptcache.DefaultRate
	within(t, "cold", at(c, v, p, "e").Prefill, cold, cold)
	within(t, "cold at half the pace", at(c, v, p, "slow").Prefill, 2*cold, 2*cold)
	within(t, "idle", at(c, v, p, "e").Busy, 0, 0)
	c.Acquire(replayStart, "h", SlotRequest{
		Ticket: "t", Service: "s", Objective: replayObjective, Left: time.Second, Prefix: []string{"p", "own"}, PrefixTokens: []int{13_300, 350}, PromptTokens: 13_650,
	})
	if g := c.Effects()[0].(Grant); g.Endpoint != "e" || g.Choice.SharedRead != 13_300 || g.Choice.Read != 13_650 {
		t.Fatalf("granted %s", g.Choice)
	}
	within(t, "cached", at(c, v, p, "e").Prefill, 350/promptcache.DefaultRate, 350/promptcache.DefaultRate)
	within(t, "busy", at(c, v, p, "e").Busy, cold-0.01, cold)
	w := at(c, v, p, "e")
	within(t, "others", w.Others/w.Prefill, 0.05, 0.3)
	within(t, "displaced", w.Displaced/w.Prefill, 0.05, 0.3)
	// A request that failed before its first event has loaded nothing for certain.
	c.Done(replayStart, Usage{Ticket: "t", Outcome: Unreachable})
	within(t, "after a failure", at(c, v, p, "e").Prefill, cold, cold)
	within(t, "after a failure", at(c, v, p, "e").Busy, 0, 0)
}

// TestClaimsOfClientsAreBounded guards against clients that claim to send huge prompts: neither is
// an endpoint left alone for long after them, nor what it has cached forgotten.
func TestClaimsOfClientsAreBounded(t *testing.T) {
	c, v, p := termPool(Endpoint{ID: "e", CacheTokens: 147_261})
	ask := func(ticket, part string, tokens int) {
		c.Acquire(replayStart, "h", SlotRequest{
			Ticket: ticket, Service: "s", Objective: replayObjective, Left: time.Second, Prefix: []string{part, "own"}, PrefixTokens: []int{tokens, 1},
		})
		if _, granted := c.Effects()[0].(Grant); !granted {
			t.Fatal("not granted")
		}
		c.Done(replayStart, Usage{Ticket: ticket, Outcome: Finished})
	}
	ask("1", "known", 1000)
	ask("2", "huge", math.MaxInt)
	chain := promptcache.NewChain("", []string{"known", "own"}, []int{1000, 1}, 1001)
	if c.endpoints["e"].cache.Held(&chain) != 1 {
		t.Error("a huge part displaced the others")
	}
	c.Acquire(replayStart, "h", SlotRequest{Ticket: "3", Service: "s", Objective: replayObjective, Left: time.Second, PromptTokens: math.MaxInt})
	c.Effects()
	within(t, "busy", at(c, v, p, "e").Busy, 0, maxPrefill)
}

// TestPaceWeighsTheGeneration guards against long outputs at slow endpoints.
func TestPaceWeighsTheGeneration(t *testing.T) {
	c, v, p := termPool(Endpoint{ID: "e"})
	for _, x := range []struct{ pace, low, high float64 }{{1, 0, 0}, {2, 50, 150}, {0.5, -75, -25}} {
		v.choice.pace = func(*endpointState) float64 { return x.pace }
		p.expected = 170
		short := at(c, v, p, "e").Pace
		within(t, fmt.Sprint("pace ", x.pace), short, x.low, x.high)
		p.expected = 1200
		if long := at(c, v, p, "e").Pace; math.Abs(long) < 2*math.Abs(short) {
			t.Errorf("pace %.1f: a long output counts %.1f ms, a short one %.1f", x.pace, long, short)
		}
	}
}

// TestLateWaits guards against a choice that treats the time beyond the objective like any.
func TestLateWaits(t *testing.T) {
	for _, x := range []struct{ first, left, want float64 }{{100, 300, 0}, {300, 300, 0}, {400, 300, 300}, {100, -50, 300}} {
		got := lateWait(x.first, time.Duration(x.left*float64(time.Millisecond)))
		within(t, fmt.Sprintf("first event after %.0f of %.0f ms", x.first, x.left), got, x.want, x.want)
	}
}

// TestLimitsAndRevocation guards against rate limits that are no longer weighed: requests keep
// off limited endpoints, and items off the others.
func TestLimitsAndRevocation(t *testing.T) {
	c, v, p := termPool(Endpoint{ID: "limited", RateLimit: 4}, Endpoint{ID: "free"})
	most := 0.0
	for id := range c.endpoints {
		c.endpoints[id].keepConnection(replayStart, "h")
		most = max(most, fullSlowdown*v.weights(p).run)
	}
	within(t, "request at the limited one", at(c, v, p, "limited").Limit, most, limitWait)
	within(t, "request at the other", at(c, v, p, "free").Limit, 0, 0)
	p.batch, p.limited = true, true
	within(t, "item at the limited one", at(c, v, p, "limited").Revocation, 0, 0)
	within(t, "item at the other", at(c, v, p, "free").Revocation, most, revocationWait)
	within(t, "limit of an item", at(c, v, p, "limited").Limit, 0, 0)
}

// TestSmallSavingsDontCrossRegions guards against traffic between regions for a few
// milliseconds, and for a large part that the region could read once.
func TestSmallSavingsDontCrossRegions(t *testing.T) {
	for _, x := range []struct {
		tokens      int
		first, last string
	}{{200, "near", "near"}, {13_300, "far", "near"}} {
		c, _, _ := termPool(Endpoint{ID: "near"}, Endpoint{ID: "far", Zone: "b1", Region: "b"})
		c.Join(replayStart, &Hello{Host: "g", Zone: "b1", Region: "b"})
		ask := func(i int, host string) string {
			now := replayStart.Add(time.Duration(i) * 2 * time.Second)
			c.Acquire(now, host, SlotRequest{
				Ticket: fmt.Sprint(i), Service: "s", Objective: replayObjective, Left: time.Second, ExpectedTokens: 10,
				Prefix: []string{"p", "own"}, PrefixTokens: []int{x.tokens, 50}, PromptTokens: x.tokens + 50,
			})
			g := c.Effects()[0].(Grant)
			c.Done(now.Add(time.Second), Usage{Ticket: g.Ticket, Outcome: Finished, Reusable: true})
			c.Effects()
			return g.Endpoint
		}
		if got := ask(0, "g"); got != "far" {
			t.Fatalf("the first request was placed at %s", got)
		}
		if got := ask(1, "h"); got != x.first {
			t.Errorf("part of %d tokens: the first request of the region was placed at %s", x.tokens, got)
		}
		last := ""
		for i := range 20 {
			last = ask(i+2, "h")
		}
		if last != x.last {
			t.Errorf("part of %d tokens: the last request of the region was placed at %s", x.tokens, last)
		}
	}
}

// TestRevokedItemIsWhereTheRequestGoes guards against a slot that is freed far from the request,
// when items of the same slack run nearer.
func TestRevokedItemIsWhereTheRequestGoes(t *testing.T) {
	far := Endpoint{ID: "far", Service: "s", Zone: "b1", Region: "b", Slots: 1}
	near := Endpoint{ID: "near", Service: "s", Zone: "a1", Region: "a", Slots: 1}
	c, _, _ := termPool(far)
	started := make(map[string]string)
	for i, endpoints := range [][]Endpoint{{far}, {far, near}} {
		c.SetEndpoints(replayStart, endpoints)
		c.AddItem(replayStart, Item{Ref: ItemRef{Job: "j", Item: i}, Service: "s", Due: replayStart.Add(time.Minute + time.Duration(i)*time.Millisecond), ExpectedTokens: 100})
		for _, e := range c.Effects() {
			started[e.(Start).Endpoint] = e.(Start).Ticket
		}
	}
	if len(started) != 2 || started["far"] > started["near"] {
		t.Fatalf("items started at %v: the run does not reach what it tests", started)
	}
	c.Acquire(replayStart, "h", SlotRequest{Ticket: "t", Service: "s", Objective: replayObjective, Left: time.Second})
	for _, e := range c.Effects() {
		if g, granted := e.(Grant); granted && g.Endpoint != "near" {
			t.Errorf("granted a slot of %s", g.Endpoint)
		}
	}
}

// TestLeastWaitIsTheLeastOfAll compares the search, which passes over endpoints by bounds, to the
// costs of all endpoints, in states that a drawn load leaves.
func TestLeastWaitIsTheLeastOfAll(t *testing.T) {
	for _, seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 9))
		c := NewCore(Options{WeighWaits: true})
		for h := range 12 {
			c.Join(replayStart, &Hello{Host: fmt.Sprint(h), Zone: zone(h), Region: region(h)})
		}
		paces := make(map[string]float64)
		v := c.service("s")
		v.choice.pace = func(s *endpointState) float64 { return paces[s.ID] }
		endpoints := func(restart int64) (all []Endpoint) {
			for i := range 150 {
				e := Endpoint{ID: fmt.Sprint("e", i), Service: "s", Zone: zone(i), Region: region(i), Slots: 1 + i%4, CacheTokens: 30_000, Started: time.Unix(restart*int64(i%7), 0)}
				if i%10 == 0 {
					e.RateLimit = 20
				}
				if paces[e.ID] == 0 {
					paces[e.ID] = 0.5 + random.Float64()
				}
				if random.Float64() < 0.9 {
					all = append(all, e)
				}
			}
			return all
		}
		c.SetEndpoints(replayStart, endpoints(0))
		var open []string
		for i := range 3000 {
			now := replayStart.Add(time.Duration(i) * 2 * time.Millisecond)
			if i%500 == 499 {
				c.SetEndpoints(now, endpoints(int64(i)))
			}
			ids, tokens := smallParts(random, 0)
			if random.Float64() < 0.2 {
				ids, tokens = largeParts(random, 0)
			}
			prompt := 350
			for _, n := range tokens {
				prompt += n
			}
			chain := promptcache.NewChain("", append(ids, "own"), append(tokens, 350), prompt)
			host := fmt.Sprint(random.IntN(12))
			p := &placement{host: c.members[host], chain: &chain, tokens: prompt + 100, expected: 100, left: replayObjective}
			if random.Float64() < 0.1 {
				p.avoid = []string{fmt.Sprint("e", random.IntN(150))}
			}
			room := func(s *endpointState) bool { return s.heldSlots() < s.Slots && s.takesRequest(now) }
			got := v.cheapest(now, p, room)
			if want := leastOfAll(now, v, p, room); got != want {
				t.Fatalf("seed %d, request %d: placed at %v, the least wait is at %v", seed, i, idOf(got), idOf(want))
			}
			c.Acquire(now, host, SlotRequest{
				Ticket: fmt.Sprint(i), Service: "s", Objective: replayObjective, Left: time.Second,
				Prefix: append(ids, "own"), PrefixTokens: append(tokens, 350), PromptTokens: prompt, ExpectedTokens: 100,
			})
			open = append(open, fmt.Sprint(i))
			if len(open) > 200 {
				at := random.IntN(len(open))
				outcome := []Outcome{Finished, Finished, Finished, Abandoned, Refused}[random.IntN(5)]
				c.Done(now, Usage{Ticket: open[at], Outcome: outcome, Reusable: random.Float64() < 0.8})
				open = append(open[:at], open[at+1:]...)
			}
			c.Effects()
		}
	}
}

func idOf(s *endpointState) string {
	if s == nil {
		return "none"
	}
	return s.ID
}

// leastOfAll returns what leastWait should, by the cost of each endpoint.
func leastOfAll(now time.Time, v *service, p *placement, room func(*endpointState) bool) *endpointState {
	k := v.weights(p)
	near := k.invested(v.choice.crossedBy(p))
	var best *endpointState
	least, bestAvoided := math.Inf(1), true
	for _, s := range v.endpoints {
		if !s.usable(now) || !p.eligible(now, s) || !room(s) || !s.fits(p.tokens) {
			continue
		}
		held := s.cache.Held(p.chain)
		w := p.waits(now, &k, s, held)
		cost := w.sum() + maxPreference*s.phase()
		if s.Region == p.host.region {
			cost -= (k.prefill[held] - near[held]) * v.choice.paceOf(s) * (1 + othersShare(s) + displacedShare)
		}
		avoided := len(p.avoid) > 0 && p.avoid[0] == s.ID
		if best == nil || (bestAvoided && !avoided) || (avoided == bestAvoided && cost < least) {
			best, least, bestAvoided = s, cost, avoided
		}
	}
	return best
}

// TestChoiceWithoutWeighing guards against a change of decisions, or of memory, where
// Options.WeighWaits is off.
func TestChoiceWithoutWeighing(t *testing.T) {
	c := NewCore(Options{})
	c.Join(replayStart, &Hello{Host: "h"})
	c.SetEndpoints(replayStart, []Endpoint{{ID: "e", Service: "s", Slots: 1}})
	c.Acquire(replayStart, "h", SlotRequest{Ticket: "t", Service: "s", Objective: time.Second, Left: time.Second, Prefix: []string{"a", "b"}})
	g := c.Effects()[0].(Grant)
	s := c.endpoints["e"]
	if g.Choice != nil || c.service("s").choice != nil || s.cache != nil || !s.promptParts.Has("a") {
		t.Error("waits were weighed")
	}
}

// TestPaceIsTakenFromEachUse guards against a choice by the pace that an endpoint had before its
// last use ended.
func TestPaceIsTakenFromEachUse(t *testing.T) {
	c, v, _ := termPool(Endpoint{ID: "e"})
	c.Acquire(replayStart, "h", SlotRequest{Ticket: "a", Service: "s", Objective: replayObjective, Left: time.Second})
	s := c.endpoints["e"]
	// The pace changes when the use is recorded, after its slot was released.
	v.choice.pace = func(s *endpointState) float64 {
		if len(s.tickets) == 0 && s.failures > 0 {
			return 2
		}
		return 1
	}
	c.Done(replayStart, Usage{Ticket: "a", Outcome: Failed})
	if slack := v.choice.rows[s.cache.Number()].slack; slack != 1 {
		t.Errorf("the row has a slack of %.2f, want 1", slack)
	}
}

// TestNewSchedulerLearnsPartsOfRunningRequests guards against a new scheduler that has the parts of
// running requests read elsewhere again.
func TestNewSchedulerLearnsPartsOfRunningRequests(t *testing.T) {
	c, _, _ := termPool(Endpoint{ID: "a"}, Endpoint{ID: "b"}, Endpoint{ID: "c"})
	request := SlotRequest{
		Ticket: "t", Service: "s", Objective: replayObjective, Left: time.Second, Prefix: []string{"p", "own"}, PrefixTokens: []int{13_300, 50}, PromptTokens: 13_350,
	}
	chain := request.Chain()
	c.Join(replayStart, &Hello{Host: "g", Zone: "a1", Region: "a", Running: []Running{
		{Ticket: "old", Service: "s", Endpoint: "b", Tokens: 13_400, Prompt: chain.Total(), Parts: chain.Parts()},
		{Ticket: "older", Service: "s", Endpoint: "c", Tokens: 13_400},
	}})
	c.Acquire(replayStart, "h", request)
	if g := c.Effects()[0].(Grant); g.Endpoint != "b" || g.Choice.SharedHeld != 13_300 {
		t.Errorf("granted a slot of %s: %s", g.Endpoint, g.Choice)
	}
}

// TestRiskIsWeighed guards against endpoints that fail some of their requests and cost no more than
// others, above all for requests that can't be repeated.
func TestRiskIsWeighed(t *testing.T) {
	c, v, p := termPool(Endpoint{ID: "fails"}, Endpoint{ID: "sound"})
	h := &c.endpoints["fails"].health
	h.singleRisk, h.repeatableRisk, h.ratedAt = 400*time.Millisecond, 20*time.Millisecond, replayStart
	within(t, "single", at(c, v, p, "fails").Risk, 400, 400)
	p.repeatable = true
	within(t, "repeatable", at(c, v, p, "fails").Risk, 20, 20)
	within(t, "sound", at(c, v, p, "sound").Risk, 0, 0)
	for _, repeatable := range []bool{false, true} {
		p.repeatable = repeatable
		if s := v.cheapest(replayStart, p, func(*endpointState) bool { return true }); s.ID != "sound" {
			t.Errorf("repeatable %v: placed at %s", repeatable, s.ID)
		}
	}
}

// TestWorkspacesShareNoLaterParts guards against requests and items that are expected to find the
// parts of another workspace's prompts cached, where only the first is the same.
func TestWorkspacesShareNoLaterParts(t *testing.T) {
	c, _, _ := termPool(Endpoint{ID: "e"})
	prefix, tokens := []string{"a", "b", "own"}, []int{100, 200, 50}
	ask := func(ticket, workspace string) int {
		c.Acquire(replayStart, "h", SlotRequest{
			Ticket: ticket, Service: "s", Workspace: workspace, Objective: replayObjective, Left: time.Second, Prefix: prefix, PrefixTokens: tokens, PromptTokens: 350,
		})
		return c.tickets[ticket].estimate.held
	}
	item := func(n int, workspace string) int {
		ref := ItemRef{Job: "j", Item: n}
		c.AddItem(replayStart, Item{
			Ref: ref, Service: "s", Workspace: workspace, Due: replayStart.Add(time.Minute), Prefix: prefix, PrefixTokens: tokens, PromptTokens: 350, ExpectedTokens: 10,
		})
		return c.tickets[c.items[ref].ticket].estimate.held
	}
	ask("1", "w")
	for _, x := range []struct {
		name      string
		got, want int
	}{
		{"request of another workspace", ask("2", "v"), 100}, {"request of the same workspace", ask("3", "w"), 300},
		{"item of the same workspace", item(1, "w"), 300}, {"item of another workspace", item(2, "u"), 100},
	} {
		if x.got != x.want {
			t.Errorf("%s: %d tokens held, want %d", x.name, x.got, x.want)
		}
	}
}

// TestSearchCountsNoPartWithoutThoseBefore guards against a search that prefers an endpoint for a
// part though the part before it is not cached there.
func TestSearchCountsNoPartWithoutThoseBefore(t *testing.T) {
	c, v, p := termPool(Endpoint{ID: "orphan"}, Endpoint{ID: "first"})
	first := promptcache.NewChain("", []string{"a", "own"}, []int{5000, 50}, 5050)
	both := promptcache.NewChain("", []string{"a", "b", "own"}, []int{5000, 5000, 50}, 10_050)
	c.endpoints["orphan"].cache.Load(&first, 1)
	c.endpoints["orphan"].cache.Load(&both, 2)
	c.endpoints["orphan"].cache.Unload(&first, 1)
	c.endpoints["first"].cache.Load(&first, 3)
	p.chain = &both
	if s := v.cheapest(replayStart, p, func(*endpointState) bool { return true }); s.ID != "first" {
		t.Errorf("placed at %s", s.ID)
	}
}

// TestAdoptedWorkEndsNoOthersPrompt guards against an endpoint that is taken for idle while it reads
// a prompt, as a use ends that a joining host told: that one has nothing left to read.
func TestAdoptedWorkEndsNoOthersPrompt(t *testing.T) {
	c, v, p := termPool(Endpoint{ID: "e"})
	c.Acquire(replayStart, "h", SlotRequest{Ticket: "t", Service: "s", Objective: time.Second, Left: time.Second, PromptTokens: 13_500})
	c.Join(replayStart, &Hello{Host: "g", Zone: "a1", Region: "a", Running: []Running{{Ticket: "old", Service: "s", Endpoint: "e"}}})
	c.Done(replayStart, Usage{Ticket: "old", Outcome: Finished})
	within(t, "busy", at(c, v, p, "e").Busy, 149, 151)
}

// TestCrossingsAreBounded guards against memory for each part that clients name.
func TestCrossingsAreBounded(t *testing.T) {
	c, v, p := termPool(Endpoint{ID: "far", Zone: "b1", Region: "b"})
	for i := range 2*maxCrossed + 1 {
		chain := promptcache.NewChain("", []string{fmt.Sprint(i), "own"}, []int{100, 50}, 150)
		p.chain = &chain
		v.choice.placed(p, c.endpoints["far"], &estimate{held: 100, waits: Waits{Distance: 20}})
	}
	if n := len(v.choice.crossed); n > maxCrossed {
		t.Errorf("%d entries", n)
	}
}
