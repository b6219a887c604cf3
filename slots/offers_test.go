package slots

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// offersOf returns the offers of one item of each job.
func offersOf(jobs ...string) []scheduler.Offer {
	var out []scheduler.Offer
	for _, job := range jobs {
		out = append(out, scheduler.Offer{
			Item: scheduler.ItemRef{Job: job}, Service: "s", DueIn: time.Minute, PromptTokens: 10, ExpectedTokens: 10,
		})
	}
	return out
}

// TestHelloFits moves a host with twenty thousand open items to a scheduler. The hello must
// not exceed the size of a message: the session opens, and some of the items run.
func TestHelloFits(t *testing.T) {
	local := newTestScheduler(t, nil)
	local.SetEndpoints([]scheduler.Endpoint{{ID: "e", Service: "s", Slots: 8}})
	jobs := make([]string, 20000)
	for i := range jobs {
		jobs[i] = fmt.Sprintf("job-%08d", i)
	}
	started := make(chan string, 8)
	c := newTestClient(t, newFakeDirectory(serveSessions(t, "first", local), peers.Host{Name: "self", Incarnation: "i"}))
	c.opts.Offers = func() []scheduler.Offer { return offersOf(jobs...) }
	c.opts.ServiceOf = func(string) string { return "s" }
	c.opts.Runner = func(_ context.Context, s *scheduler.Start, _ RunnerSlot) { started <- s.Item.Job }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.handleMessages(ctx)
	c.elect(ctx)
	select {
	case <-started:
	case <-time.After(testTimeout):
		t.Errorf("nothing was started, scheduler %q", c.Scheduler())
	}
}

// TestBlindSchedulerRunsWhatHostsOffer has a scheduler that can't read the store, and a
// host that accepts jobs. Their items run, whether accepted before or after the host joined
// the scheduler. Offers of jobs that the scheduler has read itself are ignored.
func TestBlindSchedulerRunsWhatHostsOffer(t *testing.T) {
	local := newTestScheduler(t, map[string]bool{"read": true})
	local.SetEndpoints([]scheduler.Endpoint{{ID: "e", Service: "s", Slots: 8}})
	started := make(chan string, 8)
	c := newTestClient(t, newFakeDirectory(serveSessions(t, "first", local), peers.Host{Name: "self", Incarnation: "i"}))
	c.opts.Offers = func() []scheduler.Offer { return offersOf("read", "before") }
	c.opts.ServiceOf = func(string) string { return "s" }
	c.opts.Runner = func(_ context.Context, s *scheduler.Start, _ RunnerSlot) { started <- s.Item.Job }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.handleMessages(ctx)
	c.elect(ctx)
	if got := c.Scheduler(); got != "first" {
		t.Fatalf("elected %q", got)
	}
	c.Offer(offersOf("after"))
	seen := make(map[string]bool)
	for range 2 {
		select {
		case job := <-started:
			seen[job] = true
		case <-time.After(testTimeout):
			t.Fatalf("only %v were started", seen)
		}
	}
	if !seen["before"] || !seen["after"] {
		t.Errorf("%v were started", seen)
	}
}
