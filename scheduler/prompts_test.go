package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
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

// slowQuarter is the ratio of 1.2 to 0.55 of the nominal pace.
const slowQuarter = 1.2 / 0.55

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
