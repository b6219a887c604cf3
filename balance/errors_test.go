package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

// plainReplay is the load of receipt-get on Halvorsen at one host, in which endpoints answer 500 at once
// for 5.2 s: idempotent requests of two attempts, and a fifth of one attempt.
type plainReplay struct {
	endpoints, failing int
	// perSecond is the rate of requests, feedback whether server errors are told to the Balancer.
	perSecond float64
	feedback  bool
	// poisoned are requests that fail wherever they run, at 2 s.
	poisoned int
}

// plainResult counts the attempts at failing endpoints, the requests lost and those lost of one attempt,
// and the attempts at each endpoint from 2 s after the recovery.
type plainResult struct {
	attempts, lost, lostOnce int
	after                    map[string]int
	// atOnce is the largest share of the endpoints that was avoided.
	avoided float64
}

func (r *plainReplay) run(seed uint64) plainResult {
	random := rand.New(rand.NewPCG(seed, 3))
	b := newTestBalancer()
	var endpoints []*endpoint.Endpoint
	for i := range r.endpoints {
		endpoints = append(endpoints, newEndpoint(fmt.Sprint("p", i), "a", 8))
	}
	out := plainResult{after: make(map[string]int)}
	// pending are the requests in progress, which end at a time.
	type pending struct {
		id string
		at time.Time
	}
	var running []pending
	start := now
	end := start.Add(12 * time.Second)
	for at := start; at.Before(end); at = at.Add(time.Duration(random.ExpFloat64() / r.perSecond * float64(time.Second))) {
		kept := running[:0]
		for _, p := range running {
			if p.at.After(at) {
				kept = append(kept, p)
				continue
			}
			b.Done(p.at, p.id, None)
		}
		running = kept
		since := at.Sub(start)
		poisoned := r.poisoned > 0 && since > 2*time.Second
		if poisoned {
			r.poisoned--
		}
		once := random.Float64() < 0.2
		avoid := ""
		for attempt := range 2 {
			choose := b.Choose
			if r.feedback && (once || attempt == 1) {
				choose = b.ChooseOnce
			}
			e := choose(at, endpoints, func(id string) bool { return id == avoid })
			if since > 9200*time.Millisecond {
				out.after[e.ID]++
			}
			var index int
			_, _ = fmt.Sscanf(e.ID, "p%d", &index)
			if !poisoned && (index >= r.failing || since < 2*time.Second || since >= 7200*time.Millisecond) {
				running = append(running, pending{id: e.ID, at: at.Add(30 * time.Millisecond)})
				break
			}
			if !poisoned {
				out.attempts++
			}
			if r.feedback {
				b.Errored(at, e.ID)
			} else {
				b.Done(at, e.ID, None)
			}
			avoid = e.ID
			if once || attempt == 1 {
				if !poisoned {
					out.lost++
				}
				if once && !poisoned {
					out.lostOnce++
				}
				break
			}
		}
		n := 0
		for _, e := range endpoints {
			if b.errorCost(at, e.ID, endpoints, false) >= costPenalized {
				n++
			}
		}
		out.avoided = max(out.avoided, float64(n)/float64(len(endpoints)))
	}
	return out
}

// TestFailingPlainEndpointIsNotPreferred guards against an endpoint that answers 500 at once and is chosen
// by each request, as it has the fewest in progress.
func TestFailingPlainEndpointIsNotPreferred(t *testing.T) {
	for _, perSecond := range []float64{1, 20, 200} {
		var with, without plainResult
		for seed := range uint64(5) {
			o := (&plainReplay{endpoints: 6, failing: 1, perSecond: perSecond, feedback: true}).run(seed)
			p := (&plainReplay{endpoints: 6, failing: 1, perSecond: perSecond}).run(seed)
			with.attempts, with.lost, with.lostOnce = with.attempts+o.attempts, with.lost+o.lost, with.lostOnce+o.lostOnce
			without.attempts, without.lost, without.lostOnce = without.attempts+p.attempts, without.lost+p.lost, without.lostOnce+p.lostOnce
			if perSecond >= 20 && o.after["p0"] == 0 {
				t.Errorf("%.0f per second, seed %d: nothing at the endpoint 2 s after its recovery", perSecond, seed)
			}
		}
		t.Logf("%.0f per second, 5 seeds: %d attempts, %d lost (%d of one attempt); without feedback %d, %d (%d)",
			perSecond, with.attempts, with.lost, with.lostOnce, without.attempts, without.lost, without.lostOnce)
		if perSecond >= 20 && (with.attempts > 5*8 || without.attempts < 5*with.attempts/2) {
			t.Errorf("%.0f per second: %d attempts at the failing endpoint, %d without feedback", perSecond, with.attempts, without.attempts)
		}
		if with.lostOnce > 5*2 || with.lost > with.lostOnce {
			t.Errorf("%.0f per second: %d requests lost, %d of one attempt", perSecond, with.lost, with.lostOnce)
		}
	}
}

// TestManyFailingPlainEndpointsStayInUse guards against a service that is left with few endpoints, as
// requests fail wherever they run, or most endpoints fail.
func TestManyFailingPlainEndpointsStayInUse(t *testing.T) {
	for seed := range uint64(5) {
		for _, r := range []plainReplay{
			{endpoints: 6, perSecond: 40, feedback: true, poisoned: 10}, {endpoints: 6, failing: 4, perSecond: 40, feedback: true},
			{endpoints: 2, failing: 1, perSecond: 40, feedback: true},
		} {
			load := fmt.Sprintf("%+v", r)
			if o := r.run(seed); o.avoided > 1.0/3 {
				t.Errorf("%s: %.2f of the endpoints were avoided", load, o.avoided)
			}
		}
	}
}

// TestForgottenEndpointHasNoErrors guards against an endpoint that starts again, or a host that had lost
// its links, and is judged by what was before.
func TestForgottenEndpointHasNoErrors(t *testing.T) {
	for name, forget := range map[string]func(b *Balancer){
		"forget": func(b *Balancer) { b.Forget("bad") }, "reset": (*Balancer).Reset, "success": func(b *Balancer) { b.Done(now, "bad", None) },
	} {
		b := newTestBalancer()
		endpoints := []*endpoint.Endpoint{newEndpoint("bad", "a", 8), newEndpoint("far", "c", 8)}
		b.Errored(now, "bad")
		if got := choose(t, b, now, endpoints, avoidNone); got != "far" {
			t.Errorf("chose %s after a server error", got)
		}
		forget(b)
		if got := choose(t, b, now, endpoints, avoidNone); got != "bad" {
			t.Errorf("%s: chose %s", name, got)
		}
	}
}
