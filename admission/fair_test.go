package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

// releaseAndGrant releases the running ticket and returns the one granted in its
// place.
func releaseAndGrant(t *testing.T, h *Home, now time.Time, running string) string {
	t.Helper()
	for _, e := range h.Release(now, &Release{Ticket: running}) {
		if g, ok := e.(Granted); ok {
			return g.Ticket
		}
	}
	t.Fatal("no ticket granted after a release")
	return ""
}

// TestFairByWeight keeps requests of three customers queued, with weights 1, 2 and 4
// and different expected lengths. The work granted to each customer must be
// proportional to its weight.
func TestFairByWeight(t *testing.T) {
	h := NewHome("e", 1, Options{Queue: 1 << 20, CustomerQueue: 1 << 20, Aging: time.Hour})
	lengths := []int{50, 400, 100}
	weights := []int{1, 2, 4}
	fill(t, h, objects.ClassOnline, "first", 1)
	work := make(map[string]float64)
	for c := range lengths {
		for i := range 2000 {
			r := request(fmt.Sprintf("%d-%d", c, i), objects.ClassOnline)
			r.Customer, r.Weight, r.ExpectedTokens, r.PromptTokens = fmt.Sprint(c), weights[c], lengths[c], 0
			h.Acquire(epoch, r)
		}
	}
	running := "first0"
	for range 1000 {
		running = releaseAndGrant(t, h, epoch, running)
		work[running[:1]] += float64(lengths[running[0]-'0'] + 1)
	}
	for c, w := range weights {
		share := work[fmt.Sprint(c)] / (work["0"] + work["1"] + work["2"])
		if want := float64(w) / 7; math.Abs(share-want) > 0.02 {
			t.Errorf("customer %d got a share of %.3f of the work, want %.3f", c, share, want)
		}
	}
}

// TestWorkAtRiskGainsBatchShare queues batch requests of two customers with the same
// weight; those of one are at risk. They must get atRiskWeightFactor times as
// many grants, while online requests still precede both.
func TestWorkAtRiskGainsBatchShare(t *testing.T) {
	h := NewHome("e", 1, Options{Queue: 1 << 20, CustomerQueue: 1 << 20, Aging: time.Hour})
	fill(t, h, objects.ClassOnline, "first", 1)
	for i := range 200 {
		for _, customer := range []string{"risk", "calm"} {
			r := request(fmt.Sprint(customer, i), objects.ClassBatch)
			r.Customer, r.AtRisk = customer, customer == "risk"
			h.Acquire(epoch, r)
		}
	}
	h.Acquire(epoch, request("online", objects.ClassOnline))
	running := releaseAndGrant(t, h, epoch, "first0")
	if running != "online" {
		t.Errorf("%s was granted before the online request", running)
	}
	risk := 0
	for range 100 {
		running = releaseAndGrant(t, h, epoch, running)
		if running[:4] == "risk" {
			risk++
		}
	}
	if risk < 78 || risk > 82 {
		t.Errorf("work at risk got %d of 100 grants, want 78 to 82", risk)
	}
}

// TestShortFirstWithoutStarvation has one customer add short requests faster
// than they are granted, while a long request of the same customer and one of
// another customer are queued. Short requests are granted first until the long ones
// have waited for the aging time.
func TestShortFirstWithoutStarvation(t *testing.T) {
	h := NewHome("e", 1, Options{Queue: 1 << 20, CustomerQueue: 1 << 20, Aging: 2 * time.Second})
	fill(t, h, objects.ClassOnline, "first", 1)
	for _, customer := range []string{"c", "other"} {
		long := request("long-"+customer, objects.ClassOnline)
		long.Customer, long.ExpectedTokens = customer, 5000
		h.Acquire(epoch, long)
	}
	running, seen := "first0", make(map[string]int)
	for i := range 100 {
		now := after(time.Duration(i) * 100 * time.Millisecond)
		for j := range 2 {
			short := request(fmt.Sprintf("s%d-%d", i, j), objects.ClassOnline)
			short.ExpectedTokens = 10
			h.Acquire(now, short)
		}
		running = releaseAndGrant(t, h, now, running)
		h.running[running].expiry = now.Add(time.Hour)
		seen[running] = i
	}
	for _, id := range []string{"long-c", "long-other"} {
		// The aging time passes after 20 releases. From then on each of the two
		// long requests waits for at most agingGrants+1 grants for every waiter
		// that is older than itself.
		at, granted := seen[id]
		if !granted || at < 5 || at > 20+2*(agingGrants+1)+1 {
			t.Errorf("%s: granted %t at release %d", id, granted, at)
		}
	}
}

// TestBurstOfSmallCustomersDoesNotStarveASteadyOne queues one request of each of
// 1,000 customers before those of a steady customer with weight 8, which must not
// wait for the burst to be served.
func TestBurstOfSmallCustomersDoesNotStarveASteadyOne(t *testing.T) {
	h := NewHome("e", 1, Options{Queue: 1 << 20, Aging: time.Hour})
	fill(t, h, objects.ClassOnline, "first", 1)
	for i := range 1000 {
		r := request(fmt.Sprint("burst", i), objects.ClassOnline)
		r.Customer = fmt.Sprint("small", i)
		h.Acquire(epoch, r)
	}
	running := "first0"
	for i := range 10 {
		steady := request(fmt.Sprint("steady", i), objects.ClassOnline)
		steady.Customer, steady.Weight = "steady", 8
		h.Acquire(epoch, steady)
		running = releaseAndGrant(t, h, epoch, running)
		if i < 7 && running != steady.Ticket {
			t.Errorf("request %d of the steady customer was queued behind %s", i, running)
		}
	}
}

func TestIdleFlowsAreDropped(t *testing.T) {
	q := newQueue(time.Hour)
	keep := &waiter{req: Request{Customer: "keep", ExpectedTokens: 1 << 30}}
	q.push(keep)
	for i := range 16_000 {
		w := &waiter{req: Request{Customer: fmt.Sprint(i), ExpectedTokens: 10}, seq: uint64(i)}
		q.push(w)
		q.grant(w)
	}
	if len(q.flows) > 3*minSweepFlows {
		t.Errorf("%d flows kept while one customer waits", len(q.flows))
	}
	q.grant(keep)
	if len(q.flows) != 0 {
		t.Errorf("%d flows kept while no customer waits", len(q.flows))
	}
}
