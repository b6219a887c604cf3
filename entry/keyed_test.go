package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/peridotmount/peridotmount/keeper"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

const chatBody = `{"model":"%s","max_tokens":8,"stream":%t,"messages":[{"role":"user","content":"hi"}]}`

func invoice(key string) sending {
	return sending{path: "/svc/invoices/new", key: key, body: "invoice " + key}
}

func chatCall(service, key string, stream bool) sending {
	return sending{path: "/v1/chat/completions", key: key, body: fmt.Sprintf(chatBody, service, stream)}
}

func TestJudge(t *testing.T) {
	ran := &answer{Plain: &plainAnswer{}}
	refusal := &answer{Failure: refused("")}
	cases := []struct {
		idempotent, fresh bool
		end               *answer
		want              verdict
	}{
		{false, true, nil, verdictRun},
		{false, false, nil, verdictUnknown},
		{true, false, nil, verdictRun},
		{false, false, ran, verdictReplay},
		{true, false, ran, verdictReplay},
		{false, false, refusal, verdictNextAttempt},
	}
	for _, c := range cases {
		if got := judge(c.idempotent, c.fresh, c.end); got != c.want {
			t.Errorf("judge(%t, %t, %v) = %d, want %d", c.idempotent, c.fresh, c.end, got, c.want)
		}
	}
}

func TestKeyedReplayOnAnotherHost(t *testing.T) {
	s := newSystem(t)
	s.invoices()
	s.endpoint("e0", platform.RoleEngine, "", standin.NewFaultyEngine(standin.FaultNone))
	a, b := s.host(nil), s.host(nil)
	for _, call := range []sending{invoice("k1"), chatCall("writer", "k2", false), chatCall("burner", "k3", false)} {
		first := a.send(call)
		if first.status != http.StatusOK || first.state() != "completed" {
			t.Fatalf("first: %+v", first)
		}
		id := first.header.Get(HeaderRequestID)
		await(t, "result recorded", func() bool { return a.entry.runs.find(id) == nil })
		again := b.send(call)
		if again.status != http.StatusOK || again.body != first.body {
			t.Errorf("%s: got %q again, first %q", call.path, again.body, first.body)
		}
		read := b.send(sending{method: http.MethodGet, path: "/v1/requests/" + id})
		if read.body != first.body || read.state() != "completed" {
			t.Errorf("%s: read %q, first %q", call.path, read.body, first.body)
		}
		other := call
		other.body = strings.NewReplacer("hi", "ho", "invoice", "receipt").Replace(call.body)
		if r := b.send(other); r.status != http.StatusConflict || !strings.Contains(r.body, string(CodeConflict)) {
			t.Errorf("another digest: %+v", r)
		}
	}
}

func TestKeyedStreamReplay(t *testing.T) {
	s := newSystem(t)
	s.endpoint("e0", platform.RoleEngine, "", standin.NewFaultyEngine(standin.FaultNone))
	a, b := s.host(nil), s.host(nil)
	first := a.send(chatCall("burner", "k", true))
	again := b.send(chatCall("burner", "k", true))
	if text(first) == "" || text(first) != text(again) {
		t.Errorf("got %q again, first %q", text(again), text(first))
	}
	if again.state() != "completed" || again.trailer.Get(HeaderRecording) != recordingDone {
		t.Errorf("trailer %v", again.trailer)
	}
}

// TestOnceConcurrently sends one key to two hosts at once, many times.
func TestOnceConcurrently(t *testing.T) {
	s := newSystem(t)
	plain := s.invoices()
	hosts := []*testHost{s.host(nil), s.host(nil)}
	const keys, sendings = 40, 6
	var wg sync.WaitGroup
	for k := range keys {
		for i := range sendings {
			wg.Go(func() {
				r := hosts[i%len(hosts)].send(invoice(fmt.Sprintf("k%d", k)))
				if r.state() == "not-run" {
					t.Errorf("key %d: not-run: %s", k, r.body)
				}
			})
		}
	}
	wg.Wait()
	runs := runsOf(plain)
	for k := range keys {
		if n := runs[fmt.Sprintf("invoice k%d", k)]; n != 1 {
			t.Errorf("key %d ran %d times", k, n)
		}
	}
}

// runsOf counts the runs of a plain endpoint by their bodies.
func runsOf(p *standin.Plain) map[string]int {
	out := make(map[string]int)
	for _, r := range p.Runs() {
		out[r.Body]++
	}
	return out
}

// TestStartedElsewhere sends keys that another host has started: none is run,
// whether that host is gone or still at work.
func TestStartedElsewhere(t *testing.T) {
	s := newSystem(t)
	plain := s.invoices()
	h := s.host(nil)
	for host, code := range map[string]Code{lostHost: CodeOutcomeUnknown, "at-work": CodeInProgress} {
		call := invoice("k-" + host)
		k := keyedCallOf(t, h, call)
		if _, err := s.ledger.StartRequest(t.Context(), &keeper.StartMessage{
			Customer: "ann", Key: call.key, Digest: k.digest, Nonce: "another", Host: host,
		}); err != nil {
			t.Fatal(err)
		}
		read := h.send(sending{method: http.MethodGet, path: "/v1/requests/" + k.id})
		for _, r := range []*reply{h.send(call), read} {
			if r.status != http.StatusConflict || r.state() != "unknown" || r.header.Get(headerRetryAfter) == "" || !strings.Contains(r.body, string(code)) {
				t.Errorf("%s: got %+v", host, r)
			}
		}
	}
	if n := len(plain.Runs()); n != 0 {
		t.Errorf("%d runs", n)
	}
}

func keyedCallOf(t *testing.T, h *testHost, s sending) *keyedCall {
	t.Helper()
	req := h.request(t.Context(), s)
	k, err := h.entry.newKeyedCall(req, &caller{customer: h.entry.opts.Revision().Set.Customers["ann"]}, []byte(s.body), false)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestLogOut refuses what may not be repeated at once, and says not-run only if
// no earlier sending can have run.
func TestLogOut(t *testing.T) {
	s := newSystem(t)
	plain := s.invoices()
	s.endpoint("e0", platform.RoleEngine, "", standin.NewFaultyEngine(standin.FaultNone))
	h := s.host(nil)
	ran := h.send(invoice("ran"))
	if ran.status != http.StatusOK || ran.header.Get(HeaderRecording) != recordingDone {
		t.Fatalf("got %+v", ran)
	}
	// Until the run is dropped, shortly after its answer, a repeat gets the answer from it.
	await(t, "run dropped", func() bool { return h.entry.runs.find(ran.header.Get(HeaderRequestID)) == nil })
	s.ledger.set(func(f *fakeLedger) { f.out = true })
	for _, c := range []struct {
		key, state string
	}{{"", "not-run"}, {"ran", "unknown"}, {"new", "unknown"}} {
		r := h.send(invoice(c.key))
		if r.status != http.StatusServiceUnavailable || r.state() != c.state || r.header.Get(headerRetryAfter) == "" {
			t.Errorf("key %q: %+v", c.key, r)
		}
	}
	if n := len(plain.Runs()); n != 1 {
		t.Errorf("%d runs", n)
	}
	r := h.send(chatCall("writer", "idempotent", false))
	if r.status != http.StatusOK || r.header.Get(HeaderRecording) != recordingPending {
		t.Errorf("idempotent: %+v", r)
	}
	s.ledger.set(func(f *fakeLedger) { f.out = false })
	id := r.header.Get(HeaderRequestID)
	await(t, "result recorded", func() bool { return h.entry.runs.find(id) == nil })
	if again := s.host(nil).send(chatCall("writer", "idempotent", false)); again.body != r.body {
		t.Errorf("recorded %q, answered %q", again.body, r.body)
	}
}

// TestLostStart loses the answer of a start that took effect: the request is
// refused, and once the log answers again the same key runs, once.
func TestLostStart(t *testing.T) {
	for _, lost := range []error{keeper.ErrUnavailable, keeper.ErrNoLeader, keeper.ErrNotLeader, keeper.ErrBusy} {
		t.Run(lost.Error(), func(t *testing.T) { checkLostStart(t, lost) })
	}
}

func checkLostStart(t *testing.T, lost error) {
	s := newSystem(t)
	plain := s.invoices()
	h := s.host(nil)
	s.ledger.set(func(f *fakeLedger) { f.loseStart = lost })
	if r := h.send(invoice("k")); r.status != http.StatusServiceUnavailable || r.state() != "unknown" {
		t.Fatalf("got %+v", r)
	}
	if n := len(plain.Runs()); n != 0 {
		t.Fatalf("%d runs", n)
	}
	s.ledger.set(func(f *fakeLedger) { f.loseStart = nil })
	other := s.host(nil)
	await(t, "key runs", func() bool { return other.send(invoice("k")).status == http.StatusOK })
	await(t, "same host replays", func() bool { return h.send(invoice("k")).status == http.StatusOK })
	if n := len(plain.Runs()); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// TestShutdownRecords stops a host that holds an answer while the log is out: it
// records it before it ends.
func TestShutdownRecords(t *testing.T) {
	s := newSystem(t)
	s.endpoint("e0", platform.RoleEngine, "", standin.NewFaultyEngine(standin.FaultNone))
	h := s.host(func(o *Options) { o.Drain = testPatience })
	s.ledger.set(func(f *fakeLedger) { f.out = true })
	r := h.send(chatCall("writer", "k", false))
	if r.header.Get(HeaderRecording) != recordingPending {
		t.Fatalf("got %+v", r)
	}
	h.end()
	s.ledger.set(func(f *fakeLedger) { f.out = false })
	h.stop()
	if read := s.host(nil).send(sending{method: http.MethodGet, path: "/v1/requests/" + r.header.Get(HeaderRequestID)}); read.body != r.body {
		t.Errorf("read %+v", read)
	}
}

// TestRefusedThenRun refuses a call at the endpoint before it runs; the same
// key runs once the endpoint takes it.
func TestRefusedThenRun(t *testing.T) {
	s := newSystem(t)
	plain := s.invoices()
	a, b := s.host(nil), s.host(nil)
	plain.SetFaults(standin.PlainFaults{Refuse: true})
	for range 3 {
		r := a.send(invoice("k"))
		if r.status != http.StatusServiceUnavailable || r.state() != "not-run" || r.header.Get(headerRetryAfter) == "" {
			t.Fatalf("got %+v", r)
		}
	}
	plain.SetFaults(standin.PlainFaults{})
	first := b.send(invoice("k"))
	again := a.send(invoice("k"))
	if first.status != http.StatusOK || again.body != first.body {
		t.Errorf("first %+v, again %+v", first, again)
	}
	read := a.send(sending{method: http.MethodGet, path: "/v1/requests/" + first.header.Get(HeaderRequestID)})
	if read.body != first.body {
		t.Errorf("read %q", read.body)
	}
}

// TestBrokenCallIsUnknown breaks a call after it ran: it is never run again.
func TestBrokenCallIsUnknown(t *testing.T) {
	s := newSystem(t)
	plain := s.invoices()
	a, b := s.host(nil), s.host(nil)
	plain.SetFaults(standin.PlainFaults{BreakAfterRun: true})
	if r := a.send(invoice("k")); r.state() != "unknown" {
		t.Fatalf("got %+v", r)
	}
	plain.SetFaults(standin.PlainFaults{})
	for h, code := range map[*testHost]Code{a: CodeOutcomeUnknown, b: CodeInProgress} {
		r := h.send(invoice("k"))
		if r.status != http.StatusConflict || r.state() != "unknown" || !strings.Contains(r.body, string(code)) {
			t.Errorf("got %+v, want %s", r, code)
		}
	}
	if n := len(plain.Runs()); n != 1 {
		t.Errorf("%d runs", n)
	}
}
