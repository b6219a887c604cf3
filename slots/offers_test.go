package slots

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
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

// recordingLink is a link to a scheduler that keeps what is sent.
type recordingLink struct{ sent []HostMessage }

func (l *recordingLink) send(m HostMessage)  { l.sent = append(l.sent, m) }
func (l *recordingLink) close(string)        {}
func (l *recordingLink) scheduler() string   { return "first" }
func (l *recordingLink) incarnation() string { return l.scheduler() }

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
	directory := newFakeDirectory(serveSessions(t, "first", local), peers.Host{Name: "self", Incarnation: "i"})
	c := newTestClient(t, directory)
	c.opts.Offers = func() []scheduler.Offer { return offersOf(jobs...) }
	c.opts.ServiceOf = func(string) string { return "s" }
	c.opts.Runner = func(ctx context.Context, s *scheduler.Start, _ RunnerSlot) {
		select {
		case started <- s.Item.Job:
		case <-ctx.Done():
		}
	}
	var first recordingLink
	c.attach(&first)
	hello, err := json.Marshal(first.sent[0])
	if err != nil || first.sent[0].Hello == nil || len(first.sent[0].Hello.Offers) == 0 || len(hello) >= maxMessageBytes {
		t.Fatalf("the hello has %d bytes, error %v", len(hello), err)
	}
	// Elections repeat, as one may miss its time on a busy machine.
	run(t, c.Serve)
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
	var accepted atomic.Bool
	c.opts.Offers = func() []scheduler.Offer {
		if accepted.Load() {
			// For a session that is opened again on a busy machine.
			return offersOf("read", "before", "after")
		}
		return offersOf("read", "before")
	}
	c.opts.ServiceOf = func(string) string { return "s" }
	c.opts.Runner = func(ctx context.Context, s *scheduler.Start, _ RunnerSlot) {
		select {
		case started <- s.Item.Job:
		case <-ctx.Done():
		}
	}
	// Elections repeat, as one may miss its time on a busy machine.
	run(t, c.Serve)
	for deadline := time.Now().Add(testTimeout); c.Scheduler() != "first"; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("elected %q", c.Scheduler())
		}
	}
	accepted.Store(true)
	c.Offer(offersOf("after"))
	for seen := make(map[string]bool); !seen["before"] || !seen["after"]; {
		select {
		case job := <-started:
			seen[job] = true
		case <-time.After(testTimeout):
			t.Fatalf("only %v were started", seen)
		}
		if seen["read"] {
			t.Fatal("an item of a job that the scheduler has read was started by its offer")
		}
	}
}
