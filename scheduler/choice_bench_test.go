package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/promptcache"
)

const largePool = 760

// busyPool returns a core with a pool of 760 engines in twelve zones, whose slots are partly in
// use, and whose caches hold parts of prompts.
func busyPool(weigh bool) (*Core, *service, *member) {
	c := NewCore(Options{WeighWaits: weigh})
	for h := range 79 {
		c.Join(replayStart, &Hello{Host: fmt.Sprint(h), Zone: fmt.Sprint("z", h%12), Region: fmt.Sprint("r", h%12/4)})
	}
	var all []Endpoint
	for i := range largePool {
		all = append(all, Endpoint{
			ID: fmt.Sprintf("e%03d", i), Service: "s", Zone: fmt.Sprint("z", i%12), Region: fmt.Sprint("r", i%12/4), Slots: 8, CacheTokens: 147_261,
		})
	}
	c.SetEndpoints(replayStart, all)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range largePool * 20 {
		ids, tokens := smallParts(random, 0)
		now := replayStart.Add(time.Duration(i) * time.Millisecond)
		c.Acquire(now, fmt.Sprint(i%79), SlotRequest{
			Ticket: fmt.Sprint(i), Service: "s", Objective: replayObjective, Left: 5 * time.Second,
			PromptTokens: 550, ExpectedTokens: 170, Prefix: append(ids, "own"), PrefixTokens: append(tokens, 350),
		})
		c.Effects()
		if i >= largePool*4 {
			c.Done(now, Usage{Ticket: fmt.Sprint(i - largePool*4), Outcome: Finished, First: 50 * time.Millisecond, Reusable: true})
		}
	}
	return c, c.service("s"), c.members["5"]
}

// BenchmarkChoice measures a choice among 760 engines. It must take less than 5 us and must not
// allocate.
func BenchmarkChoice(b *testing.B) {
	for _, weigh := range []bool{false, true} {
		b.Run(fmt.Sprintf("weigh=%v", weigh), func(b *testing.B) {
			_, v, m := busyPool(weigh)
			now := replayStart.Add(largePool * 20 * time.Millisecond)
			chains := make([]promptcache.Chain, 2046)
			for i := range chains {
				chains[i] = promptcache.NewChain("", []string{fmt.Sprint("a", i%16), fmt.Sprint("b", i), "own"}, []int{100, 100, 350}, 550)
			}
			room := func(s *endpointState) bool { return s.heldSlots() < s.Slots && s.takesRequest(now) }
			p := &placement{host: m, tokens: 720, expected: 170, left: replayObjective, prefix: []string{"a1", "b1", "own"}}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.chain = &chains[i%len(chains)]
				i++
				if v.cheapest(now, p, room) == nil {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}
