package slots

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// leavingEndpoints records the endpoints that leave, as known to one host.
type leavingEndpoints struct {
	mu    sync.Mutex
	known map[endpoint.Incarnation]bool
	// calls counts the calls of add.
	calls int
}

func (d *leavingEndpoints) add(i endpoint.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.known[i] {
		return false
	}
	if d.known == nil {
		d.known = make(map[endpoint.Incarnation]bool)
	}
	d.known[i] = true
	return true
}

func (d *leavingEndpoints) all() []endpoint.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []endpoint.Incarnation
	for i := range d.known {
		out = append(out, i)
	}
	return out
}

func (d *leavingEndpoints) has(i endpoint.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known[i]
}

// runClient runs the client of a host that knows the leaving endpoints d.
func runClient(t *testing.T, name string, d *leavingEndpoints, directory Directory) *Client {
	t.Helper()
	c, local := NewClient(Options{
		Self: peers.Host{Name: name, Incarnation: "i"}, Directory: directory,
		RecordsReadUntil: time.Now, ResumableItems: func() []scheduler.Resumable { return nil },
		Offers: func() []scheduler.Offer { return nil }, KnowsJob: func(string) bool { return true },
		LeavingEndpoints: d.all, AddLeavingEndpoint: d.add,
		RefreshDirectory: func(context.Context) error { return nil },
		HTTP:             &http.Client{Transport: &http.Transport{}}, Logger: log.NewNopLogger(),
	})
	run(t, local.Serve)
	run(t, c.Serve)
	return c
}

// newLeavingScheduler runs the scheduler of a host that knows the leaving endpoints d.
func newLeavingScheduler(t *testing.T, d *leavingEndpoints) *LocalScheduler {
	t.Helper()
	local := newLocalScheduler(&Options{
		Self:             peers.Host{Name: "first"},
		LeavingEndpoints: d.all, AddLeavingEndpoint: d.add,
		Directory: newFakeDirectory(), RecordsReadUntil: time.Now, KnowsJob: func(string) bool { return true }, Logger: log.NewNopLogger(),
	}, newMetrics(nil))
	run(t, local.Serve)
	return local
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, testTimeout)
		}
	}
}

// TestAllHostsLearnWhoLeaves has one host report a leaving endpoint: the scheduler and the
// other hosts receive its id and incarnation.
func TestAllHostsLearnWhoLeaves(t *testing.T) {
	var atScheduler, atOther leavingEndpoints
	first := serveSessions(t, "first", newLeavingScheduler(t, &atScheduler))
	reporter := runClient(t, "a", &leavingEndpoints{}, newFakeDirectory(first, peers.Host{Name: "a", Incarnation: "i"}))
	other := runClient(t, "b", &atOther, newFakeDirectory(first, peers.Host{Name: "b", Incarnation: "i"}))
	eventually(t, "sessions", func() bool { return reporter.Scheduler() == "first" && other.Scheduler() == "first" })
	leaving := endpoint.Incarnation{ID: "e", Started: time.UnixMilli(5).UTC()}
	reporter.ReportLeavingEndpoint(leaving)
	eventually(t, "the scheduler learns it", func() bool { return atScheduler.has(leaving) })
	eventually(t, "the other host learns it", func() bool { return atOther.has(leaving) })
}

// TestNewSchedulerLearnsWhoLeaves has a host report a leaving endpoint while it reaches no
// other scheduler: the scheduler that it joins later receives the report.
func TestNewSchedulerLearnsWhoLeaves(t *testing.T) {
	leaving := endpoint.Incarnation{ID: "e", Started: time.UnixMilli(5).UTC()}
	var atReporter, atScheduler leavingEndpoints
	directory := newFakeDirectory(peers.Host{Name: "a", Incarnation: "i"})
	reporter := runClient(t, "a", &atReporter, directory)
	eventually(t, "own scheduler", func() bool { return reporter.Scheduler() == "a" })
	atReporter.add(leaving)
	reporter.ReportLeavingEndpoint(leaving)
	directory.set(serveSessions(t, "first", newLeavingScheduler(t, &atScheduler)), peers.Host{Name: "a", Incarnation: "i"})
	eventually(t, "the new scheduler learns it", func() bool { return atScheduler.has(leaving) })
}

// TestLeavingEndpointIsBroadcastAtOnce executes the commands of a scheduler by hand: a
// reported endpoint is broadcast before the next periodic broadcast is due, and only once.
func TestLeavingEndpointIsBroadcastAtOnce(t *testing.T) {
	var known leavingEndpoints
	local := newLocalScheduler(&Options{
		Self: peers.Host{Name: "first"}, LeavingEndpoints: known.all, AddLeavingEndpoint: known.add,
		Directory: newFakeDirectory(), RecordsReadUntil: time.Now, KnowsJob: func(string) bool { return true }, Logger: log.NewNopLogger(),
	}, newMetrics(nil))
	var broadcast []endpoint.Incarnation
	local.Join(&scheduler.Hello{Host: "b"}, func(d SchedulerMessage) { broadcast = append(broadcast, d.Broadcast.EndpointsLeaving...) })
	leaving := endpoint.Incarnation{ID: "e", Started: time.UnixMilli(5)}
	for range 2 {
		local.Handle("a", &HostMessage{EndpointsLeaving: []endpoint.Incarnation{leaving}})
	}
	for local.commands.Len() > 0 {
		(<-local.commands.C())(time.Now(), local.core)
	}
	if len(broadcast) != 1 || broadcast[0] != leaving {
		t.Errorf("broadcast %+v", broadcast)
	}
}
