package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmount/peridotmount/objects"
)

const (
	scheduleSeed  = 20261
	scheduleRuns  = 300
	scheduleSteps = 400
)

// invariantChecker drives a Home with a random schedule and checks the invariants
// after each input. It tracks the tickets by the effects alone, independently of the
// Home.
type invariantChecker struct {
	rng   *rand.Rand
	home  *Home
	now   time.Time
	slots int

	requests map[string]*Request
	outcomes map[string]int
	running  map[string]*Request
	revoked  map[string]bool
	// deadEntries holds the entries that have stopped renewing their tickets.
	deadEntries map[string]bool
	// violation is the first violation found, "" if there was none.
	violation string
}

func newInvariantChecker(seed uint64) *invariantChecker {
	rng := rand.New(rand.NewPCG(seed, 1))
	slots := 1 + rng.IntN(8)
	return &invariantChecker{
		rng: rng, slots: slots, now: epoch,
		home:     NewHome("e", slots, Options{Queue: 12, CustomerQueue: 8, Lease: time.Second, StragglerTokens: 300}),
		requests: make(map[string]*Request), outcomes: make(map[string]int),
		running: make(map[string]*Request), revoked: make(map[string]bool), deadEntries: make(map[string]bool),
	}
}

func (c *invariantChecker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

func (c *invariantChecker) apply(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Granted:
			c.outcomes[e.Ticket]++
			req := c.requests[e.Ticket]
			c.running[e.Ticket] = req
			if len(c.running) > c.slots && req.Class != objects.ClassUrgent && !req.WithoutWait {
				c.fail("%s granted although all %d slots were taken", e.Ticket, c.slots)
			}
		case Refused:
			c.outcomes[e.Ticket]++
		case Revoke:
			c.revoked[e.Ticket] = true
			if r := c.running[e.Ticket]; r == nil || r.Class != objects.ClassBatch {
				c.fail("%s revoked, but it is not a running batch ticket", e.Ticket)
			}
		}
	}
	c.check()
}

// check verifies that no request has two outcomes, that urgent requests wait only
// while urgent and online tickets take all slots, and that online requests do not
// wait for batch tickets that are not being revoked.
func (c *invariantChecker) check() {
	nonRevocable, notRevoked := 0, 0
	for id, r := range c.running {
		if r.Class != objects.ClassBatch {
			nonRevocable++
		} else if !c.revoked[id] {
			notRevoked++
		}
	}
	for id, r := range c.requests {
		if c.outcomes[id] > 1 {
			c.fail("%s has %d outcomes, want at most 1", id, c.outcomes[id])
		}
		if c.outcomes[id] > 0 {
			continue
		}
		if r.Class == objects.ClassUrgent && nonRevocable < c.slots {
			c.fail("urgent %s waits although only %d of %d slots are not revocable", id, nonRevocable, c.slots)
		}
		if r.Class == objects.ClassOnline && notRevoked > 0 && nonRevocable+notRevoked >= c.home.sharedLimit() && nonRevocable < c.home.sharedLimit() {
			if len(c.running)-nonRevocable == notRevoked {
				c.fail("online %s waits while %d batch tickets are not revoked", id, notRevoked)
			}
		}
	}
}

var classes = []objects.Class{objects.ClassUrgent, objects.ClassOnline, objects.ClassOnline, objects.ClassBatch, objects.ClassBatch, objects.ClassBatch}

func (c *invariantChecker) step(i int) {
	c.now = c.now.Add(time.Duration(c.rng.IntN(50)) * time.Millisecond)
	switch c.rng.IntN(10) {
	case 0, 1, 2, 3:
		class := classes[c.rng.IntN(len(classes))]
		r := request(fmt.Sprintf("%s-%d", class, i), class)
		r.Customer = fmt.Sprint(c.rng.IntN(5))
		r.Entry = fmt.Sprint(c.rng.IntN(3))
		r.ExpectedTokens = c.rng.IntN(400)
		r.WaitMillis = int64(c.rng.IntN(1000))
		r.WithoutWait = c.rng.IntN(10) == 0
		c.requests[r.Ticket] = r
		c.apply(c.home.Acquire(c.now, r))
	case 4, 5, 6:
		c.release(c.pick())
	case 7:
		c.renew()
	default:
		c.tick()
	}
}

// pick returns a running ticket, preferring a revoked one, or "" if none runs.
func (c *invariantChecker) pick() string {
	best := ""
	for id := range c.running {
		better := best == "" || c.revoked[id] && !c.revoked[best] || c.revoked[id] == c.revoked[best] && id < best
		if better {
			best = id
		}
	}
	return best
}

func (c *invariantChecker) release(id string) {
	if id == "" {
		return
	}
	delete(c.running, id)
	c.apply(c.home.Release(c.now, &Release{Ticket: id}))
}

func (c *invariantChecker) renew() {
	var list []Running
	for id, r := range c.running {
		if !c.deadEntries[r.Entry] {
			list = append(list, Running{Request: *r, Tokens: len(id)})
		}
	}
	c.apply(c.home.Renew(c.now, list))
}

// tick ticks the Home. Live entries renew first, because the renewal interval is
// shorter than the lease; the tickets of dead entries end with their leases.
func (c *invariantChecker) tick() {
	c.renew()
	effects := c.home.Tick(c.now)
	for id := range c.running {
		if c.home.running[id] == nil {
			delete(c.running, id)
		}
	}
	c.apply(effects)
}

// finish declares one entry dead, ends all tickets and checks that none are left.
// Those of dead entries end only because their leases expire.
func (c *invariantChecker) finish() {
	c.deadEntries["0"] = true
	for range 200 {
		c.now = c.now.Add(50 * time.Millisecond)
		for id, r := range c.running {
			if !c.deadEntries[r.Entry] {
				c.release(id)
				break
			}
		}
		c.tick()
	}
	for id := range c.requests {
		if c.outcomes[id] != 1 {
			c.fail("%s has %d outcomes at the end, want 1", id, c.outcomes[id])
		}
	}
	if !c.home.Idle() {
		c.fail("home is not idle after all tickets ended: %+v", c.home.Load())
	}
}

func TestInvariantsOverRandomSchedules(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(scheduleSeed)
	p.MinSuccessfulTests = scheduleRuns
	properties := gopter.NewProperties(p)
	properties.Property("invariants hold", prop.ForAll(func(seed uint64) string {
		c := newInvariantChecker(seed)
		for i := range scheduleSteps {
			c.step(i)
		}
		c.finish()
		return c.violation
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestTwoHomesAtOnce runs two homes for the same endpoint, as happens while hosts
// have different views. Each must keep its invariants, every request must have one
// outcome, and once the entries renew with one home it must count all running
// tickets.
func TestTwoHomesAtOnce(t *testing.T) {
	a, b := newInvariantChecker(7), newInvariantChecker(7)
	b.slots, b.home = a.slots, NewHome("e", a.slots, a.home.opts)
	for i := range scheduleSteps {
		a.step(i)
		b.step(i + scheduleSteps)
	}
	for id, r := range a.running {
		b.running[id] = r
		b.requests[id] = r
		b.outcomes[id] = 1
	}
	b.renew()
	for id := range b.running {
		if b.home.running[id] == nil {
			t.Errorf("%s runs but is not counted by the home", id)
		}
	}
	a.deadEntries["1"], a.deadEntries["2"] = true, true
	a.running = make(map[string]*Request)
	a.finish()
	b.finish()
	if a.violation != "" || b.violation != "" {
		t.Errorf("faults: %q, %q", a.violation, b.violation)
	}
}
