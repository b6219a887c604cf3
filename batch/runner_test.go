package batch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/upstream"
)

const testTimeout = 20 * time.Second

// recordingSlot records the uses with which a slot is released.
type recordingSlot []scheduler.Usage

func (r *recordingSlot) ReportStalled()            {}
func (r *recordingSlot) Release(u scheduler.Usage) { *r = append(*r, u) }

// newStoredLedger returns a ledger in a store; its items run at a simulated engine.
func newStoredLedger(writer, store string, replica *standin.Replica) *Ledger {
	return NewLedger(Options{
		Writer: writer, Host: writer, Offer: func([]scheduler.Offer) {}, Store: platform.NewStore(store, platform.StoreOptions{}), Scheduler: make(fakeScheduler),
		OnLeaving: func(endpoint.Incarnation) {},
		OnLimit:   func(endpoint.Incarnation, float64, time.Time) {},

		HasRateLimit: func(*endpoint.Endpoint) bool { return false },
		Sender:       upstream.NewPool(upstream.Options{}), Logger: log.NewNopLogger(),
		Configuration: testConfiguration, CacheBytes: 1 << 20,
		Endpoint: func(id string) *endpoint.Endpoint {
			return &endpoint.Endpoint{ID: id, Service: "engine", Address: replica.Address(), State: endpoint.Ready}
		},
	})
}

// followLedger follows a ledger until the returned function is called.
func followLedger(t *testing.T, l *Ledger) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = l.Follower().Serve(ctx); close(done) }()
	deadline := time.Now().Add(testTimeout)
	for l.Follower().Complete().IsZero() {
		if time.Now().After(deadline) {
			t.Fatal("the ledger was not listed in time")
		}
		time.Sleep(time.Millisecond)
	}
	return func() { cancel(); <-done }
}

// TestRunRefreshesLedgerForUnknownItem starts an item of a job that the scheduler has
// read but this host has not. The host must refresh its ledger view instead of
// releasing the slot.
func TestRunRefreshesLedgerForUnknownItem(t *testing.T) {
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	replica, err := standin.StartReplica("engine-0", 3)
	if err != nil {
		t.Fatal(err)
	}
	defer replica.Close()
	ahead := newStoredLedger("ahead", server.Listener.Addr().String(), replica)
	defer followLedger(t, ahead)()
	behind := newStoredLedger("behind", server.Listener.Addr().String(), replica)
	followLedger(t, behind)()

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}}
	if v, err := ahead.Submit(ctx, "j", "h", "/lots-in/j", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	var uses recordingSlot
	NewRunner(ctx, behind).Run(ctx, &scheduler.Start{
		Ticket: "t", Endpoint: "engine-0", Item: scheduler.ItemRef{Job: "j"},
	}, &uses)
	if len(uses) != 1 || uses[0].Outcome != scheduler.Finished {
		t.Errorf("slot released with %+v", uses)
	}
}

// startStoreAndEngine starts a store and an engine whose streams have this many events.
func startStoreAndEngine(t *testing.T, events int) (address string, engine *standin.Replica) {
	t.Helper()
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	engine, err := standin.StartReplica("engine-0", events)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	return server.Listener.Addr().String(), engine
}

// submitJob returns a ledger with a job of one item, and an engine with faults.
func submitJob(ctx context.Context, t *testing.T, faults standin.ReplicaFaults) (*Ledger, *standin.Replica) {
	t.Helper()
	address, replica := startStoreAndEngine(t, 3)
	replica.SetFaults(faults)
	l := newStoredLedger("host", address, replica)
	t.Cleanup(followLedger(t, l))
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}}
	if v, err := l.Submit(ctx, "j", "h", "/lots-in/j", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	return l, replica
}

// runItem runs the job's item once and returns the use with which its slot was
// released.
func runItem(ctx context.Context, t *testing.T, l *Ledger) scheduler.Usage {
	t.Helper()
	var uses recordingSlot
	NewRunner(ctx, l).Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "engine-0", Item: scheduler.ItemRef{Job: "j"}}, &uses)
	if len(uses) != 1 || ctx.Err() != nil {
		t.Fatalf("slot released with %+v, context error: %v", uses, ctx.Err())
	}
	return uses[0]
}

// runOnce submits a job of one item to an engine with faults and runs the item once. It
// returns the ledger, the use of the slot and the item's result, or nil if it has none.
func runOnce(t *testing.T, faults standin.ReplicaFaults) (*Ledger, scheduler.Usage, *jobs.Result) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	l, _ := submitJob(ctx, t, faults)
	use := runItem(ctx, t, l)
	if err := l.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if results := l.state.Job("j").Results; len(results) > 0 {
		return l, use, &results[0]
	}
	return l, use, nil
}

// TestCommentsAreNoOutput runs an item at an engine that sends comments between events.
// The comments must not become part of the output.
func TestCommentsAreNoOutput(t *testing.T) {
	l, _, result := runOnce(t, standin.ReplicaFaults{Comments: true})
	if result == nil {
		t.Fatal("no result")
	}
	output, err := l.payloads.get(context.Background(), &result.Output)
	want := standin.EventData("i", 1) + "\n" + standin.EventData("i", 2) + "\n" + standin.EventData("i", 3)
	if err != nil || string(output) != want {
		t.Errorf("output %q, error %v", output, err)
	}
}

// TestOutputOfAnotherVersionIsNotContinued breaks an item off, and runs it again at the same
// version, which goes on, and at another, which begins again.
func TestOutputOfAnotherVersionIsNotContinued(t *testing.T) {
	for _, c := range []struct {
		version string
		after   int
	}{{"v1", 2}, {"v2", 0}} {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		version := "v1"
		l, replica := submitJob(ctx, t, standin.ReplicaFaults{CutAfter: 2})
		l.opts.Endpoint = func(id string) *endpoint.Endpoint {
			return &endpoint.Endpoint{ID: id, Service: "engine", Address: replica.Address(), State: endpoint.Ready, Version: version}
		}
		if use := runItem(ctx, t, l); use.Version != "v1" {
			t.Errorf("the scheduler is told that version %q made the output", use.Version)
		}
		p := l.progress.get(scheduler.ItemRef{Job: "j"})
		if p.version != "v1" || p.events != 2 {
			t.Fatalf("progress %+v", p)
		}
		version = c.version
		replica.SetFaults(standin.ReplicaFaults{CutAfter: 1})
		runItem(ctx, t, l)
		if runs := replica.Runs(); runs[1].After != c.after {
			t.Errorf("at %s the item goes on after event %d, want %d", c.version, runs[1].After, c.after)
		}
	}
}

// TestItemNeedsAnAgreedVersion starts an item at an endpoint that the scheduler has read at another
// version than this host: the item isn't sent, as its output would be kept under the wrong one.
func TestItemNeedsAnAgreedVersion(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	l, replica := submitJob(ctx, t, standin.ReplicaFaults{CutAfter: 2})
	l.opts.Endpoint = func(id string) *endpoint.Endpoint {
		return &endpoint.Endpoint{ID: id, Service: "engine", Address: replica.Address(), State: endpoint.Ready, Version: "v1"}
	}
	for version, runs := range map[string]int{"v2": 0, "v1": 1} {
		var uses recordingSlot
		before := len(replica.Runs())
		NewRunner(ctx, l).Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "engine-0", Item: scheduler.ItemRef{Job: "j"}, Version: version}, &uses)
		if got := len(replica.Runs()) - before; got != runs || len(uses) != 1 || (uses[0].Outcome == scheduler.Unread) != (runs == 0) {
			t.Errorf("started at %s: %d runs, slot released with %+v", version, got, uses)
		}
	}
}

// TestCommentsAreNoProgress runs an item at an engine that sends comments without end
// after its first event. The run must end, so that its slot becomes free, and must keep
// the first event so that the next run resumes after it.
func TestCommentsAreNoProgress(t *testing.T) {
	l, use, result := runOnce(t, standin.ReplicaFaults{CommentsAfter: 1})
	if use.Outcome != scheduler.Failed || result != nil {
		t.Errorf("slot released with %+v, result %+v", use, result)
	}
	if kept := l.progress.get(scheduler.ItemRef{Job: "j"}); kept.events != 1 || kept.output != standin.EventData("i", 1) {
		t.Errorf("kept %+v", kept)
	}
}

// TestOutputWithoutEnd runs an item at an engine that sends events without end. The run
// must end, and its output must neither stay in memory nor become a result.
func TestOutputWithoutEnd(t *testing.T) {
	l, use, result := runOnce(t, standin.ReplicaFaults{Endless: true})
	if use.Outcome != scheduler.Failed || use.TokensDone != 0 || result != nil {
		t.Errorf("slot released with %+v, result %+v", use, result)
	}
	if kept := l.progress.get(scheduler.ItemRef{Job: "j"}); kept.events != 0 || kept.output != "" {
		t.Errorf("%d events kept, want 0", kept.events)
	}
}

// TestEndpointLeavesWhileTheInputIsRead has an endpoint leave between the start of a
// run and the end of the read of its input. The item must not be sent to the endpoint.
func TestEndpointLeavesWhileTheInputIsRead(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	l, replica := submitJob(ctx, t, standin.ReplicaFaults{})
	lookup, lookups := l.opts.Endpoint, 0
	l.opts.Endpoint = func(id string) *endpoint.Endpoint {
		e := lookup(id)
		if lookups++; lookups > 1 {
			e.State = endpoint.Draining
		}
		return e
	}
	if use := runItem(ctx, t, l); use.Outcome != scheduler.Leaving || len(replica.Runs()) > 0 {
		t.Errorf("slot released with %+v, %d runs", use, len(replica.Runs()))
	}
}

// TestEndpointWhoseRecordWasNotRead starts an item at an endpoint that this host has not read yet.
// The scheduler must not take that for the endpoint's word that it leaves.
func TestEndpointWhoseRecordWasNotRead(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	l, replica := submitJob(ctx, t, standin.ReplicaFaults{})
	l.opts.Endpoint = func(string) *endpoint.Endpoint { return nil }
	if use := runItem(ctx, t, l); use.Outcome != scheduler.Unread || len(replica.Runs()) > 0 {
		t.Errorf("slot released with %+v, %d runs", use, len(replica.Runs()))
	}
}

// TestAnswerThatIsNoStreamIsNoOutput breaks an item off after two events; the endpoint then answers
// with a success that is no event stream, or writes an error into one. The item must not be recorded
// as done, and its output must stay as it was.
func TestAnswerThatIsNoStreamIsNoOutput(t *testing.T) {
	for name, faults := range map[string]standin.ReplicaFaults{
		"empty":            {Answer: &standin.Answer{Status: http.StatusOK, Type: "text/plain"}},
		"no content":       {Answer: &standin.Answer{Status: http.StatusNoContent}},
		"no type":          {Answer: &standin.Answer{Status: http.StatusOK}},
		"text":             {Answer: &standin.Answer{Status: http.StatusOK, Type: "text/plain", Body: "id: 3\ndata: failed\n\n"}},
		"text in a stream": {Answer: &standin.Answer{Status: http.StatusOK, Type: "text/event-stream", Body: "failed\n\n"}},
		"error inside":     {InsideAfter: 1, Inside: "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n"},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		l, replica := submitJob(ctx, t, standin.ReplicaFaults{CutAfter: 2})
		runItem(ctx, t, l)
		replica.SetFaults(faults)
		if name == "error inside" {
			l.progress.drop(scheduler.ItemRef{Job: "j"})
		}
		if use := runItem(ctx, t, l); use.Outcome != scheduler.Failed {
			t.Errorf("%s: slot released with %+v", name, use)
		}
		replica.SetFaults(standin.ReplicaFaults{})
		if use := runItem(ctx, t, l); use.Outcome != scheduler.Finished {
			t.Errorf("%s: slot of the last run released with %+v", name, use)
		}
		cancel()
	}
}

// TestOddLedgerRecordsEndNothing follows a ledger into which another writer put jobs whose inputs
// can't be: items of them are started, and the process must live on and serve its own jobs.
func TestOddLedgerRecordsEndNothing(t *testing.T) {
	store := standin.NewStore(standin.StoreFaults{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	replica, err := standin.StartReplica("engine-0", 3)
	if err != nil {
		t.Fatal(err)
	}
	defer replica.Close()
	odd := map[string]string{
		"negative":   `{"bytes":-1,"segments":[{"offset":1,"keys":["k"]}]}`,
		"huge":       `{"bytes":4611686018427387904,"segments":[{"offset":1,"keys":["k"]}]}`,
		"no keys":    `{"bytes":1,"segments":[{"offset":1,"keys":[]}]}`,
		"no records": `{"bytes":1}`,
		"exponent":   `{"bytes":1e400}`,
		"nested":     strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000),
	}
	for name, blob := range odd {
		store.Put(platform.TopicJobs.Name, name, []byte(`{"job":"`+name+
			`","submit":{"attempt":"`+name+`","route":"lots","host":"h","path":"/lots-in/j","items":[{"id":"i"}],"inputs":[{"count":1,"blob":`+blob+`}]}}`))
	}
	l := newStoredLedger("host", server.Listener.Addr().String(), replica)
	defer followLedger(t, l)()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for name := range odd {
		var uses recordingSlot
		NewRunner(ctx, l).Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "engine-0", Item: scheduler.ItemRef{Job: name}}, &uses)
		if len(uses) != 1 || uses[0].Outcome == scheduler.Finished {
			t.Errorf("%s: slot released with %+v", name, uses)
		}
	}
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}}
	if v, err := l.Submit(ctx, "j", "h", "/lots-in/j", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	if use := runItem(ctx, t, l); use.Outcome != scheduler.Finished {
		t.Errorf("slot of a sound item released with %+v", use)
	}
}

// TestStartingHostGivesItemsBack starts an item at a host that has not listed the ledger yet:
// the scheduler is told so, and may start it elsewhere at once.
func TestStartingHostGivesItemsBack(t *testing.T) {
	address, engine := startStoreAndEngine(t, 3)
	l := newStoredLedger("starting", address, engine)
	var uses recordingSlot
	NewRunner(t.Context(), l).Run(t.Context(), &scheduler.Start{Ticket: "t", Endpoint: "engine-0", Item: scheduler.ItemRef{Job: "j"}}, &uses)
	if len(uses) != 1 || uses[0].Outcome != scheduler.LedgerUnread || uses[0].Delay != 0 || uses[0].Settled {
		t.Errorf("slot released with %+v", uses)
	}
}

// TestOutageIsNoStart starts an item of a job that this host has not read while the store is down.
// The host has read the ledger before and can run the items that it knows: only this one waits.
func TestOutageIsNoStart(t *testing.T) {
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	t.Cleanup(server.Close)
	l := newStoredLedger("host", server.Listener.Addr().String(), nil)
	l.opts.Endpoint = func(id string) *endpoint.Endpoint {
		return &endpoint.Endpoint{ID: id, Service: "engine", State: endpoint.Ready}
	}
	t.Cleanup(followLedger(t, l))
	_ = server.Listener.Close()
	server.CloseClientConnections()
	var uses recordingSlot
	NewRunner(t.Context(), l).Run(t.Context(), &scheduler.Start{Ticket: "t", Endpoint: "engine-0", Item: scheduler.ItemRef{Job: "j"}}, &uses)
	if len(uses) != 1 || uses[0].Outcome != scheduler.Abandoned || uses[0].Delay != misplacedDelay {
		t.Errorf("slot released with %+v", uses)
	}
}
