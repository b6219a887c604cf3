package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/routing"
	"github.com/peridotmount/peridotmount/standin"
)

const streamTimeout = 20 * time.Second

// fleet is one host with its dispatcher and several engines, all in this process.
type fleet struct {
	t       *testing.T
	view    atomic.Pointer[membership.View]
	engines []*httptest.Server
	d       *Dispatcher
	duty    *admission.Duty
	// calls counts the POST requests to endpoints; they start streams and plain calls.
	calls atomic.Int64
	guard *recordingGuard
}

type recordingGuard struct {
	mu      sync.Mutex
	verdict Verdict
	died    []bool
}

func (g *recordingGuard) Check(Fingerprint, []string) Verdict { return g.verdict }
func (g *recordingGuard) Responding([]string)                 {}
func (g *recordingGuard) Crashed(Fingerprint, []string, string, int64) {
}
func (g *recordingGuard) Started(Fingerprint, string, int64)  {}
func (g *recordingGuard) Answered(Fingerprint, string, int64) {}
func (g *recordingGuard) Ended(_ Fingerprint, _ string, _ int64, died bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.died = append(g.died, died)
}

func newFleet(t *testing.T, engines, slots int, policy Policy) *fleet {
	t.Helper()
	f := &fleet{t: t, guard: &recordingGuard{}}
	hosts := []platform.Host{{Name: "host", Role: platform.RoleSystem, State: platform.HostLive, Zone: "z", Region: "r"}}
	for i := range engines {
		e := standin.NewEngine(standin.EngineOptions{Slots: slots, StepBase: 2 * time.Millisecond, CrashMark: "crash"}, func() {
			panic(http.ErrAbortHandler)
		})
		inner := e.Handler()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				f.calls.Add(1)
			}
			inner.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		f.engines = append(f.engines, server)
		hosts = append(hosts, platform.Host{
			Name: fmt.Sprint("e", i), Role: platform.RoleEngine, State: platform.HostLive, Zone: "z", Region: "r",
			Address: server.URL, Slots: slots, Incarnation: 1,
		})
	}
	f.view.Store(&membership.View{Hosts: hosts})
	f.start(policy)
	return f
}

func (f *fleet) start(policy Policy) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	f.duty = admission.NewDuty(admission.DutyOptions{
		Host: "host", View: f.view.Load, Peers: client, Engines: client,
		Home: admission.Options{ReserveShare: 0.01}, ReportInterval: time.Second, Logger: log.NewNopLogger(),
	})
	tickets := admission.NewClient(admission.ClientOptions{
		Host: "host", View: f.view.Load, Local: f.duty, Urgent: client, Online: client, Batch: client,
		TicketTimeout: 200 * time.Millisecond, Renew: 50 * time.Millisecond,
	})
	peers := httptest.NewServer(admission.NewHandler(f.duty, tickets))
	f.t.Cleanup(peers.Close)
	hosts := append([]platform.Host(nil), f.view.Load().Hosts...)
	hosts[0].Address = peers.URL
	f.view.Store(&membership.View{Hosts: hosts})
	f.d = New(Options{
		Zone: "z", Region: "r", View: f.view.Load, Client: client, Tickets: tickets, Guard: f.guard, Policy: policy, Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	for _, s := range []interface{ Serve(context.Context) error }{
		f.duty, admission.NewRevoker(f.duty), admission.NewRenewer(tickets), admission.NewReleaser(tickets),
	} {
		go func() { _ = s.Serve(ctx) }()
	}
}

func (f *fleet) setFaults(i int, faults standin.EngineFaults) {
	f.t.Helper()
	body, _ := json.Marshal(faults)
	r, _ := http.NewRequest(http.MethodPut, f.engines[i].URL+"/faults", bytes.NewReader(body))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func newCall(class objects.Class, tokens int) *Call {
	return &Call{
		RequestID: "r", Class: class, Prompt: "walnut", MaxTokens: tokens,
		Customer: &objects.Customer{Name: "c", Weight: 1},
		Service:  &objects.Service{Name: "s", Model: "m", Version: "v", Idempotent: true},
	}
}

func expectedText(c *Call) string {
	var b strings.Builder
	for i := range c.MaxTokens {
		b.WriteString(standin.Token(&engine.StreamRequest{Model: "m", Version: "v", Prompt: c.Prompt}, i))
	}
	return b.String()
}

// stream runs a call and returns its text. It checks that each token is delivered
// exactly once and in order.
func (f *fleet) stream(c *Call, first chan<- struct{}) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	var b strings.Builder
	next := 0
	_, err := f.d.Stream(ctx, c, func(offset int, token string) error {
		if offset != next {
			f.t.Errorf("offset %d, want %d", offset, next)
		}
		if next == 0 && first != nil {
			close(first)
		}
		next++
		b.WriteString(token)
		return nil
	})
	return b.String(), err
}

func (f *fleet) expectFullAnswer(c *Call) {
	f.t.Helper()
	if text, err := f.stream(c, nil); err != nil || text != expectedText(c) {
		f.t.Errorf("got %q, %v", text, err)
	}
}

func expectError(t *testing.T, err, cause error, state RunState) *Error {
	t.Helper()
	var failure *Error
	if !errors.As(err, &failure) || !errors.Is(err, cause) || failure.RunState != state {
		t.Fatalf("got %v, want %v (%s)", err, cause, state)
	}
	return failure
}

func TestBrokenStreamIsResumedAtAnotherEndpoint(t *testing.T) {
	f := newFleet(t, 3, 4, Policy{RetryShare: 0.2})
	for i := range 3 {
		f.setFaults(i, standin.EngineFaults{BreakAfter: 4})
	}
	c := newCall(objects.ClassOnline, 10)
	f.expectFullAnswer(c)
	if got := f.calls.Load(); got != 3 {
		t.Errorf("%d streams, want 3: 10 tokens, 4 per stream", got)
	}
}

func TestNonIdempotentCallIsNotRetried(t *testing.T) {
	f := newFleet(t, 3, 4, Policy{RetryShare: 0.2})
	for i := range 3 {
		f.setFaults(i, standin.EngineFaults{BreakAfter: 4})
	}
	c := newCall(objects.ClassOnline, 10)
	c.Service.Idempotent = false
	_, err := f.stream(c, nil)
	expectError(t, err, ErrInterrupted, Unknown)
	if got := f.calls.Load(); got != 1 {
		t.Errorf("%d streams, want 1: the call must not be repeated", got)
	}
}

func TestRefusedCallIsNotRun(t *testing.T) {
	f := newFleet(t, 3, 4, Policy{RetryShare: 0.2})
	for i := range 2 {
		f.setFaults(i, standin.EngineFaults{Leaving: true})
	}
	c := newCall(objects.ClassOnline, 5)
	c.Service.Idempotent = false
	f.expectFullAnswer(c)
	f.setFaults(2, standin.EngineFaults{Leaving: true})
	_, err := f.stream(c, nil)
	if failure := expectError(t, err, ErrNoEndpoint, NotRun); failure.RetryAfter <= 0 {
		t.Error("the error has no RetryAfter")
	}
}

// TestPreemptedBatchCallsComplete fills the only engine with batch calls. An urgent
// and an online call must complete before any of them, and the preempted batch calls
// must still be answered completely.
func TestPreemptedBatchCallsComplete(t *testing.T) {
	f := newFleet(t, 1, 2, Policy{RetryShare: 0.2})
	var batch sync.WaitGroup
	ended := make(chan struct{}, 2)
	for i := range 2 {
		first := make(chan struct{})
		batch.Add(1)
		go func() {
			defer batch.Done()
			c := newCall(objects.ClassBatch, 400)
			c.RequestID, c.Prompt = fmt.Sprint("b", i), fmt.Sprint("lot ", i)
			text, err := f.stream(c, first)
			if err != nil || text != expectedText(c) {
				t.Errorf("batch: %d bytes, %v", len(text), err)
			}
			ended <- struct{}{}
		}()
		<-first
	}
	f.expectFullAnswer(newCall(objects.ClassUrgent, 5))
	f.expectFullAnswer(newCall(objects.ClassOnline, 5))
	if len(ended) > 0 {
		t.Error("a batch call ended before the urgent and online calls that preempt it")
	}
	batch.Wait()
	if got := f.calls.Load(); got < 5 {
		t.Errorf("%d streams, want at least 5: no batch call was preempted", got)
	}
}

// awaitFull waits until the home of an endpoint gives no ticket to an online call that doesn't wait.
// Urgent calls start before their home knows of them.
func (f *fleet) awaitFull(endpoint string) {
	f.t.Helper()
	for deadline, i := time.Now().Add(streamTimeout), 0; ; i++ {
		probe := &admission.Request{
			Ticket: fmt.Sprint("probe", i), Endpoint: endpoint, Entry: "host", Class: objects.ClassOnline, Customer: "c", Weight: 1,
		}
		if out := <-f.duty.Acquire(probe); !out.Granted {
			return
		}
		f.duty.Abandon(endpoint, probe.Ticket)
		if time.Now().After(deadline) {
			f.t.Fatal("the endpoint's home has not learned that it is full")
		}
		time.Sleep(time.Millisecond)
	}
}

// lateContext is a context whose deadline has passed and whose timer has not run yet.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// TestPassedDeadlineIsNoOverload has a call's wait at a full endpoint end behind its deadline, before
// the timer of the deadline itself has run: the call ended by its deadline, and no retry would serve it.
func TestPassedDeadlineIsNoOverload(t *testing.T) {
	f := newFleet(t, 1, 1, Policy{RetryShare: 0.2, OnlineWait: 50 * time.Millisecond})
	first := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.d.Stream(ctx, newCall(objects.ClassUrgent, 1_000_000), func(offset int, _ string) error {
			if offset == 0 {
				close(first)
			}
			return nil
		})
	}()
	<-first
	f.awaitFull("e0")
	_, err := f.d.Stream(lateContext{context.Background()}, newCall(objects.ClassOnline, 5), func(int, string) error { return nil })
	expectError(t, err, ErrDeadline, NotRun)
	cancel()
	<-done
}

// TestFullEndpointRefusesWithRetryAfter occupies the only slot with an urgent call:
// an online call is refused with a retry time, or ends with its deadline.
func TestFullEndpointRefusesWithRetryAfter(t *testing.T) {
	f := newFleet(t, 1, 1, Policy{RetryShare: 0.2, OnlineWait: 50 * time.Millisecond})
	first := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.d.Stream(ctx, newCall(objects.ClassUrgent, 1_000_000), func(offset int, _ string) error {
			if offset == 0 {
				close(first)
			}
			return nil
		})
	}()
	<-first
	f.awaitFull("e0")
	_, err := f.stream(newCall(objects.ClassOnline, 5), nil)
	if failure := expectError(t, err, ErrOverloaded, NotRun); failure.RetryAfter <= 0 {
		t.Error("the error has no RetryAfter")
	}
	late := newCall(objects.ClassOnline, 5)
	late.Deadline = time.Now().Add(10 * time.Millisecond)
	_, err = f.stream(late, nil)
	expectError(t, err, ErrDeadline, NotRun)
	cancel()
	<-done
}

func TestHedgeBeatsSlowEndpoint(t *testing.T) {
	f := newFleet(t, 4, 4, Policy{RetryShare: 0.2, HedgeShare: 0.05})
	f.d.choose(enginePool, &routing.Query{})
	for i := range 4 {
		f.d.router.recordSent(enginePool, fmt.Sprint("e", i), objects.ClassOnline, "")
		f.d.router.recordTimes(enginePool, fmt.Sprint("e", i), admission.Times{FirstTokenMicros: 2000})
		f.d.router.recordDone(enginePool, fmt.Sprint("e", i), objects.ClassOnline)
	}
	for i := range 3 {
		f.setFaults(i, standin.EngineFaults{Slowdown: 1_000_000})
	}
	// Only e3 answers in time. Whichever endpoint is chosen first, the call or its
	// hedge can reach e3, as a hedge excludes the endpoints already tried.
	answered := 0
	for range 2 * hedgeBurst {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := f.d.Stream(ctx, newCall(objects.ClassOnline, 1), func(int, string) error { return nil })
		cancel()
		if err == nil {
			answered++
		}
	}
	if extra := f.calls.Load() - 2*hedgeBurst; extra < 1 || extra > hedgeBurst+1 {
		t.Errorf("%d hedges for %d calls", extra, 2*hedgeBurst)
	}
	if answered == 0 {
		t.Error("no call was answered")
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	f := newFleet(t, 4, 4, Policy{RetryShare: 0.1})
	for i := range 4 {
		f.setFaults(i, standin.EngineFaults{BreakAfter: 1})
	}
	const calls = 100
	for range calls {
		_, err := f.stream(newCall(objects.ClassOnline, 50), nil)
		if err == nil {
			t.Fatal("call succeeded although all engines break off their streams")
		}
	}
	if got := f.calls.Load(); got > calls+retryBurst+calls/10+1 {
		t.Errorf("%d streams for %d calls: retries exceed the budget", got, calls)
	}
}

func TestGuardVerdicts(t *testing.T) {
	f := newFleet(t, 2, 4, Policy{RetryShare: 0.2})
	f.guard.verdict = Quarantined
	_, err := f.stream(newCall(objects.ClassOnline, 5), nil)
	expectError(t, err, ErrQuarantined, NotRun)
	f.guard.verdict = Exclusive
	f.expectFullAnswer(newCall(objects.ClassOnline, 5))
	f.setFaults(0, standin.EngineFaults{BreakAfter: 1})
	f.setFaults(1, standin.EngineFaults{BreakAfter: 1})
	_, _ = f.stream(newCall(objects.ClassOnline, 5), nil)
	f.guard.mu.Lock()
	defer f.guard.mu.Unlock()
	for _, died := range f.guard.died {
		if died {
			t.Error("an endpoint that is still serving was reported as dead")
		}
	}
	if len(f.guard.died) < 3 {
		t.Errorf("Guard.Ended called %d times, want at least 3", len(f.guard.died))
	}
}

func TestFallbackServiceServesCall(t *testing.T) {
	f := newFleet(t, 1, 4, Policy{RetryShare: 0.2})
	other := &objects.Service{Name: "other", Model: "m", Version: "v", Idempotent: true}
	f.d.opts.Service = func(string) *objects.Service { return other }
	c := newCall(objects.ClassOnline, 5)
	c.Service.Zones, c.Service.Fallback = []string{"nowhere"}, "other"
	f.expectFullAnswer(c)
}

func TestBaselineNeedsNoTickets(t *testing.T) {
	f := newFleet(t, 2, 4, Policy{Baseline: true})
	// This home never answers, so a call that asked it for a ticket would time out.
	client := &http.Client{}
	unserved := admission.NewDuty(admission.DutyOptions{Host: "host", View: f.view.Load})
	f.d.opts.Tickets = admission.NewClient(admission.ClientOptions{
		Host: "host", View: f.view.Load, Local: unserved, Urgent: client, Online: client, Batch: client,
	})
	f.expectFullAnswer(newCall(objects.ClassOnline, 5))
}

// TestBatchItemsHaveNoGuard crashes an endpoint under a batch item beside a guard that
// quarantines everything: the item is run, blamed for nothing, and its error says that an
// endpoint died.
func TestBatchItemsHaveNoGuard(t *testing.T) {
	f := newFleet(t, 1, 4, Policy{RetryShare: 0.2})
	f.guard.verdict = Quarantined
	f.expectFullAnswer(newCall(objects.ClassBatch, 5))
	first := make(chan struct{})
	go func() {
		<-first
		_ = f.engines[0].Listener.Close()
		f.engines[0].CloseClientConnections()
	}()
	_, err := f.stream(newCall(objects.ClassBatch, 5000), first)
	var failure *Error
	if !errors.As(err, &failure) || !failure.EndpointDied {
		t.Errorf("error %+v, want one that says that an endpoint died", err)
	}
	f.guard.mu.Lock()
	defer f.guard.mu.Unlock()
	if len(f.guard.died) > 0 {
		t.Errorf("the guard was told of %d runs of items", len(f.guard.died))
	}
}
