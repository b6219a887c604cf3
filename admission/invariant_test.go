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

// bench drives a Home with a random schedule and checks the invariants after each
// input. It tracks the tickets by the effects alone, independently of the Home.
type bench struct {
	rng   *rand.Rand
	home  *Home
	now   time.Time
	slots int

	asked    map[string]*Request
	outcomes map[string]int
	running  map[string]*Request
	revoked  map[string]bool
	// dead holds the entries that have stopped renewing their tickets.
	dead map[string]bool
	// fault is the first violation found, "" if there was none.
	fault string
}

func newBench(seed uint64) *bench {
	rng := rand.New(rand.NewPCG(seed, 1))
	slots := 1 + rng.IntN(8)
	return &bench{
		rng: rng, slots: slots, now: epoch,
		home:  NewHome("e", slots, Options{Queue: 12, CustomerQueue: 8, Lease: time.Second, StragglerTokens: 300}),
		asked: make(map[string]*Request), outcomes: make(map[string]int),
		running: make(map[string]*Request), revoked: make(map[string]bool), dead: make(map[string]bool),
	}
}

func (b *bench) fail(format string, args ...any) {
	if b.fault == "" {
		b.fault = fmt.Sprintf(format, args...)
	}
}

func (b *bench) apply(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Granted:
			b.outcomes[e.Ticket]++
			req := b.asked[e.Ticket]
			b.running[e.Ticket] = req
			if len(b.running) > b.slots && req.Class != objects.ClassUrgent && !req.Follow {
				b.fail("%s granted although all %d slots were taken", e.Ticket, b.slots)
			}
		case Refused:
			b.outcomes[e.Ticket]++
		case Revoke:
			b.revoked[e.Ticket] = true
			if r := b.running[e.Ticket]; r == nil || r.Class != objects.ClassBatch {
				b.fail("%s revoked, but it is not a running batch ticket", e.Ticket)
			}
		}
	}
	b.check()
}

// check verifies that no request has two outcomes, that urgent requests wait only
// while urgent and online tickets take all slots, and that online requests do not
// wait for batch tickets that are not being revoked.
func (b *bench) check() {
	kept, staying := 0, 0
	for id, r := range b.running {
		if r.Class != objects.ClassBatch {
			kept++
		} else if !b.revoked[id] {
			staying++
		}
	}
	for id, r := range b.asked {
		if b.outcomes[id] > 1 {
			b.fail("%s has %d outcomes, want at most 1", id, b.outcomes[id])
		}
		if b.outcomes[id] > 0 {
			continue
		}
		if r.Class == objects.ClassUrgent && kept < b.slots {
			b.fail("urgent %s waits although only %d of %d slots are not revocable", id, kept, b.slots)
		}
		if r.Class == objects.ClassOnline && staying > 0 && kept+staying >= b.home.sharedLimit() && kept < b.home.sharedLimit() {
			if len(b.running)-kept == staying {
				b.fail("online %s waits while %d batch tickets are not revoked", id, staying)
			}
		}
	}
}

var classes = []objects.Class{objects.ClassUrgent, objects.ClassOnline, objects.ClassOnline, objects.ClassBatch, objects.ClassBatch, objects.ClassBatch}

func (b *bench) step(i int) {
	b.now = b.now.Add(time.Duration(b.rng.IntN(50)) * time.Millisecond)
	switch b.rng.IntN(10) {
	case 0, 1, 2, 3:
		class := classes[b.rng.IntN(len(classes))]
		r := request(fmt.Sprintf("%s-%d", class, i), class)
		r.Customer = fmt.Sprint(b.rng.IntN(5))
		r.Entry = fmt.Sprint(b.rng.IntN(3))
		r.ExpectedTokens = b.rng.IntN(400)
		r.WaitMillis = int64(b.rng.IntN(1000))
		r.Follow = b.rng.IntN(10) == 0
		b.asked[r.Ticket] = r
		b.apply(b.home.Ask(b.now, r))
	case 4, 5, 6:
		b.release(b.pick())
	case 7:
		b.renew()
	default:
		b.tick()
	}
}

// pick returns a running ticket, preferring a revoked one, or "" if none runs.
func (b *bench) pick() string {
	best := ""
	for id := range b.running {
		better := best == "" || b.revoked[id] && !b.revoked[best] || b.revoked[id] == b.revoked[best] && id < best
		if better {
			best = id
		}
	}
	return best
}

func (b *bench) release(id string) {
	if id == "" {
		return
	}
	delete(b.running, id)
	b.apply(b.home.Release(b.now, &Release{Ticket: id}))
}

func (b *bench) renew() {
	var list []Running
	for id, r := range b.running {
		if !b.dead[r.Entry] {
			list = append(list, Running{Request: *r, Tokens: len(id)})
		}
	}
	b.apply(b.home.Renew(b.now, list))
}

// tick ticks the Home. Live entries renew first, because the renewal interval is
// shorter than the lease; the tickets of dead entries end with their leases.
func (b *bench) tick() {
	b.renew()
	effects := b.home.Tick(b.now)
	for id := range b.running {
		if b.home.running[id] == nil {
			delete(b.running, id)
		}
	}
	b.apply(effects)
}

// finish declares one entry dead, ends all tickets and checks that none are left.
// Those of dead entries end only because their leases expire.
func (b *bench) finish() {
	b.dead["0"] = true
	for range 200 {
		b.now = b.now.Add(50 * time.Millisecond)
		for id, r := range b.running {
			if !b.dead[r.Entry] {
				b.release(id)
				break
			}
		}
		b.tick()
	}
	for id := range b.asked {
		if b.outcomes[id] != 1 {
			b.fail("%s has %d outcomes at the end, want 1", id, b.outcomes[id])
		}
	}
	if !b.home.Idle() {
		b.fail("home is not idle after all tickets ended: %+v", b.home.Load())
	}
}

func TestInvariantsOverRandomSchedules(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(scheduleSeed)
	p.MinSuccessfulTests = scheduleRuns
	properties := gopter.NewProperties(p)
	properties.Property("invariants hold", prop.ForAll(func(seed uint64) string {
		b := newBench(seed)
		for i := range scheduleSteps {
			b.step(i)
		}
		b.finish()
		return b.fault
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestTwoHomesAtOnce runs two homes for the same endpoint, as happens while hosts
// have different views. Each must keep its invariants, every request must have one
// outcome, and once the entries renew with one home it must count all running
// tickets.
func TestTwoHomesAtOnce(t *testing.T) {
	a, b := newBench(7), newBench(7)
	b.slots, b.home = a.slots, NewHome("e", a.slots, a.home.opts)
	for i := range scheduleSteps {
		a.step(i)
		b.step(i + scheduleSteps)
	}
	for id, r := range a.running {
		b.running[id] = r
		b.asked[id] = r
		b.outcomes[id] = 1
	}
	b.renew()
	for id := range b.running {
		if b.home.running[id] == nil {
			t.Errorf("%s runs but is not counted by the home", id)
		}
	}
	a.dead["1"], a.dead["2"] = true, true
	a.running = make(map[string]*Request)
	a.finish()
	b.finish()
	if a.fault != "" || b.fault != "" {
		t.Errorf("faults: %q, %q", a.fault, b.fault)
	}
}
