package entry

import (
	"bytes"
	"context"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// testSettle is longer than anything that a test's ledger does.
const testSettle = testPatience

// silentEndpoint takes requests and answers none.
type silentEndpoint struct {
	taken chan struct{}
}

func newSilentEndpoint() *silentEndpoint {
	return &silentEndpoint{taken: make(chan struct{}, 16)}
}

// ServeHTTP implements http.Handler.
func (e *silentEndpoint) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodPost {
		e.taken <- struct{}{}
		<-r.Context().Done()
	}
}

// waitingDispatcher has no endpoint free for any call.
type waitingDispatcher struct {
	waiting chan struct{}
}

func (d waitingDispatcher) wait(ctx context.Context) error {
	d.waiting <- struct{}{}
	<-ctx.Done()
	return &dispatch.Error{Cause: dispatch.ErrDeadline, RunState: dispatch.NotRun}
}

// Stream implements Dispatcher.
func (d waitingDispatcher) Stream(ctx context.Context, _ *dispatch.Call, _ dispatch.Sink) (dispatch.Result, error) {
	return dispatch.Result{}, d.wait(ctx)
}

// Resume implements Dispatcher.
func (d waitingDispatcher) Resume(ctx context.Context, _ *dispatch.Call, _ dispatch.Location, _ dispatch.Sink) (dispatch.Result, error) {
	return dispatch.Result{}, d.wait(ctx)
}

// Plain implements Dispatcher.
func (d waitingDispatcher) Plain(ctx context.Context, _ *dispatch.PlainCall) (*http.Response, error) {
	return nil, d.wait(ctx)
}

// expectRefusal fails the test unless a request was refused as not run, with the time at which
// another host may be sent it.
func expectRefusal(t *testing.T, name string, r *reply, state dispatch.RunState) {
	t.Helper()
	if r.err != nil || r.status != http.StatusServiceUnavailable || r.state() != string(state) || r.header.Get("Retry-After") != "1" {
		t.Errorf("%s: status %d, run state %q, Retry-After %q, error %v", name, r.status, r.state(), r.header.Get("Retry-After"), r.err)
	}
}

// TestWorkIsRefusedOnceTheHostShutsDown sends requests that come late: none gets to an endpoint.
func TestWorkIsRefusedOnceTheHostShutsDown(t *testing.T) {
	s := newSystem(t)
	endpoint := newSilentEndpoint()
	s.endpoint("e0", platform.RoleEngine, "", endpoint)
	s.endpoint("p0", platform.RolePlain, "invoices", endpoint)
	h := s.host(nil)
	h.entry.RefuseWork()
	for name, late := range map[string]sending{
		"completion":    chatCall("writer", "", false),
		"stream":        chatCall("writer", "", true),
		"runs once":     chatCall("burner", "", false),
		"plain service": {path: "/svc/invoices/print", body: "x"},
		"file":          {path: "/v1/files", body: "x"},
		"batch":         {path: "/v1/batches", body: "{}"},
	} {
		expectRefusal(t, name, h.send(late), dispatch.NotRun)
	}
	expectRefusal(t, "under a key", h.send(chatCall("burner", "k", false)), dispatch.Unknown)
	if len(endpoint.taken) != 0 {
		t.Errorf("%d requests were passed on", len(endpoint.taken))
	}
	if r := h.send(sending{method: http.MethodGet, path: "/v1/models"}); r.status != http.StatusOK {
		t.Errorf("question: status %d", r.status)
	}
}

// TestRequestIsNotPassedOnOnceTheHostShutsDown has a body on its way when work is refused.
func TestRequestIsNotPassedOnOnceTheHostShutsDown(t *testing.T) {
	s := newSystem(t)
	endpoint := newSilentEndpoint()
	s.endpoint("e0", platform.RoleEngine, "", endpoint)
	h := s.host(nil)
	answer := h.sendHalf(chatCall("burner", "", false), "")
	h.entry.RefuseWork()
	expectRefusal(t, "body on its way", <-answer, dispatch.NotRun)
	if len(endpoint.taken) != 0 {
		t.Error("the request was passed on")
	}
}

// sendHalf sends a request whose body doesn't end, and returns once the host has it.
func (h *testHost) sendHalf(s sending, contentType string) <-chan *reply {
	h.t.Helper()
	before := h.entry.InFlight()
	body, rest := io.Pipe()
	h.t.Cleanup(func() { _ = rest.Close() })
	req := h.request(context.Background(), s)
	req.Body, req.ContentLength = body, int64(len(s.body)+1)
	req.Header.Set(headerContentType, contentType)
	out := make(chan *reply, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			out <- &reply{err: err}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		out <- &reply{status: resp.StatusCode, header: resp.Header}
	}()
	if _, err := io.WriteString(rest, s.body); err != nil {
		h.t.Fatal(err)
	}
	await(h.t, "the host has the request", func() bool { return h.entry.InFlight() > before })
	return out
}

// sendLater sends a request in the background.
func (h *testHost) sendLater(s sending) <-chan *reply {
	out := make(chan *reply, 1)
	go func() { out <- h.send(s) }()
	return out
}

// TestRequestsAtTheEndOfAShutdownAreAnswered ends requests that endpoints have.
func TestRequestsAtTheEndOfAShutdownAreAnswered(t *testing.T) {
	for name, one := range map[string]sending{
		"completion":        chatCall("writer", "", false),
		"stream not begun":  chatCall("writer", "", true),
		"runs once":         chatCall("burner", "", false),
		"under a key":       chatCall("burner", "k", false),
		"repeatable, keyed": chatCall("writer", "k", true),
		"plain service":     {path: "/svc/invoices/print", body: "x"},
	} {
		s := newSystem(t)
		endpoint := newSilentEndpoint()
		s.endpoint("e0", platform.RoleEngine, "", endpoint)
		s.endpoint("p0", platform.RolePlain, "invoices", endpoint)
		h := s.host(nil)
		answer := h.sendLater(one)
		<-endpoint.taken
		h.entry.EndRequests(testSettle)
		if r := <-answer; r.err != nil || r.status != http.StatusBadGateway || r.state() != string(dispatch.Unknown) || r.header.Get("Retry-After") != "" {
			t.Errorf("%s: status %d, run state %q, Retry-After %q, error %v", name, r.status, r.state(), r.header.Get("Retry-After"), r.err)
		}
	}
}

// TestRequestsThatWaitAtTheEndOfAShutdownAreRefused ends requests that wait for an endpoint:
// they did not run, and another host may run them.
func TestRequestsThatWaitAtTheEndOfAShutdownAreRefused(t *testing.T) {
	for name, one := range map[string]sending{
		"completion":    chatCall("writer", "", false),
		"stream":        chatCall("writer", "", true),
		"runs once":     chatCall("burner", "", false),
		"under a key":   chatCall("burner", "k", false),
		"plain service": {path: "/svc/lookup/x", body: "x"},
	} {
		s := newSystem(t)
		s.endpoint("e0", platform.RoleEngine, "", standin.NewFaultyEngine(standin.FaultNone))
		d := waitingDispatcher{waiting: make(chan struct{}, 1)}
		h := s.host(func(o *Options) { o.Dispatcher = d })
		answer := h.sendLater(one)
		<-d.waiting
		h.entry.EndRequests(testSettle)
		expectRefusal(t, name, <-answer, dispatch.NotRun)
		if one.key != "" {
			if r := s.host(nil).send(one); r.status != http.StatusOK {
				t.Errorf("%s: status %d at another host: %s", name, r.status, r.body)
			}
		}
	}
}

// TestStreamsAtTheEndOfAShutdownAreBrokenOff ends streams that have begun.
func TestStreamsAtTheEndOfAShutdownAreBrokenOff(t *testing.T) {
	for name, one := range map[string]sending{
		"idempotent": chatCall("writer", "", true),
		"runs once":  chatCall("burner", "k", true),
	} {
		s := newSystem(t)
		slow := standin.NewEngine(standin.EngineOptions{Slots: 8, StepBase: 200 * time.Millisecond}, func() {})
		s.endpoint("e0", platform.RoleEngine, "", slow.Handler())
		h := s.host(nil)
		resp, err := http.DefaultClient.Do(h.request(context.Background(), one))
		if err != nil {
			t.Fatal(err)
		}
		h.entry.EndRequests(testSettle)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || !strings.Contains(string(body), `"code":"interrupted"`) || strings.Contains(string(body), sseDone) {
			t.Errorf("%s: %s, error %v", name, body, err)
		}
		if state := resp.Trailer.Get(HeaderRunState); state != string(dispatch.Unknown) {
			t.Errorf("%s: run state %q", name, state)
		}
	}
}

// TestPlainResponseAtTheEndOfAShutdownIsCut ends a call whose response is passed on: its caller
// must not take it for a whole one.
func TestPlainResponseAtTheEndOfAShutdownIsCut(t *testing.T) {
	s := newSystem(t)
	s.endpoint("p0", platform.RolePlain, "lookup", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 64<<10))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	h := s.host(nil)
	resp, err := http.DefaultClient.Do(h.request(context.Background(), sending{path: "/svc/lookup/x"}))
	if err != nil {
		t.Fatal(err)
	}
	h.entry.EndRequests(testSettle)
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("the response looks whole")
	}
	_ = resp.Body.Close()
}

// TestUploadAtTheEndOfAShutdownIsRefused ends an upload that had begun before.
func TestUploadAtTheEndOfAShutdownIsRefused(t *testing.T) {
	h := newSystem(t).host(nil)
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, _ := w.CreateFormFile("file", "f.jsonl")
	_, _ = io.WriteString(part, "{")
	answer := h.sendHalf(sending{path: "/v1/files", body: form.String()}, w.FormDataContentType())
	h.entry.RefuseWork()
	select {
	case r := <-answer:
		t.Fatalf("the upload ended as new work was refused: %+v", r)
	case <-time.After(50 * time.Millisecond):
	}
	h.entry.EndRequests(testSettle)
	expectRefusal(t, "upload", <-answer, dispatch.NotRun)
}
