package forward

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
)

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	b := newTestbed(t, atMostOnce, 1, 0)
	id, a := b.send(context.Background(), "body", map[string]string{"X-Model": "m", "X-Deadline-Ms": "3000"})
	if a.status != http.StatusOK || a.body != "answer to "+id || a.header.Get("X-Server-Stamp") != standin.StampOf("i-0", id) {
		t.Errorf("response %+v", a)
	}
	run := b.runs(id)[0]
	if run.Target != "/p/x%2Fy?z=1" || run.Body != "body" || run.Header.Get("X-Model") != "m" || run.Header.Get("X-Expect-Instance") != "i-0" {
		t.Errorf("run %+v", run)
	}
	if left, err := strconv.Atoi(run.Header.Get("X-Deadline-Ms")); err != nil || left > 3000 || left < 1 {
		t.Errorf("deadline %q", run.Header.Get("X-Deadline-Ms"))
	}
}

func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	for name, kind := range map[string]route.Route{"at most once": atMostOnce, "idempotent": idempotent} {
		b := newTestbed(t, kind, 2, 0)
		b.replicas[0].SetFaults(standin.ReplicaFaults{NotRun: true})
		if id, a := b.send(context.Background(), "", nil); a.status != http.StatusOK || len(b.runs(id)) != 1 {
			t.Errorf("%s: status %d, %d runs", name, a.status, len(b.runs(id)))
		}
	}
}

func TestRequestThatNoEndpointRanIsRejected(t *testing.T) {
	b := newTestbed(t, atMostOnce, 2, 0)
	for _, r := range b.replicas {
		r.SetFaults(standin.ReplicaFaults{NotRun: true})
	}
	id, a := b.send(context.Background(), "", nil)
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || len(b.runs(id)) != 0 {
		t.Errorf("status %d, Retry-After %q, %d runs", a.status, a.header.Get("Retry-After"), len(b.runs(id)))
	}
}

func TestInterruptedRequestRunsOnce(t *testing.T) {
	for name, faults := range map[string]standin.ReplicaFaults{"reset": {ResetBefore: true}, "cut": {Cut: true}} {
		b := newTestbed(t, atMostOnce, 2, 0)
		b.replicas[0].SetFaults(faults)
		if id, a := b.send(context.Background(), "", nil); a.status != http.StatusBadGateway || len(b.runs(id)) != 1 {
			t.Errorf("%s: status %d, %d runs", name, a.status, len(b.runs(id)))
		}
	}
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, faults := range map[string]standin.ReplicaFaults{
		"reset": {ResetBefore: true}, "cut": {Cut: true}, "failed": {Status: http.StatusInternalServerError},
	} {
		b := newTestbed(t, idempotent, 2, 0)
		b.replicas[0].SetFaults(faults)
		if id, a := b.send(context.Background(), "", nil); a.status != http.StatusOK || a.body != "answer to "+id {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	b := newTestbed(t, idempotent, 3, 0)
	for _, r := range b.replicas {
		r.SetFaults(standin.ReplicaFaults{ResetBefore: true})
	}
	if id, a := b.send(context.Background(), "", nil); a.status != http.StatusBadGateway || len(b.runs(id)) != 2 {
		t.Errorf("status %d, %d runs", a.status, len(b.runs(id)))
	}
}

func TestEndpointFailurePassesUnchanged(t *testing.T) {
	b := newTestbed(t, atMostOnce, 2, 0)
	b.replicas[0].SetFaults(standin.ReplicaFaults{Status: http.StatusInternalServerError})
	id, a := b.send(context.Background(), "", nil)
	if a.status != http.StatusInternalServerError || a.header.Get("X-Server-Stamp") != standin.StampOf("i-0", id) || len(b.runs(id)) != 1 {
		t.Errorf("%+v, %d runs", a, len(b.runs(id)))
	}
}

func TestForeignAnswerIsPassedOver(t *testing.T) {
	b := newTestbed(t, atMostOnce, 1, 0)
	b.replicas[0].SetFaults(standin.ReplicaFaults{Foreign: true})
	if id, a := b.send(context.Background(), "", nil); a.body != "answer to "+id {
		t.Errorf("%+v", a)
	}
}

// TestSecondAnswerIsNotTakenForTheNext has an endpoint send two responses to one
// request. The next request must not get the second one.
func TestSecondAnswerIsNotTakenForTheNext(t *testing.T) {
	b := newTestbed(t, atMostOnce, 1, 0)
	b.replicas[0].SetFaults(standin.ReplicaFaults{Extra: true})
	for range 5 {
		if id, a := b.send(context.Background(), "", nil); a.body != "answer to "+id {
			t.Errorf("%+v", a)
		}
	}
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	b := newTestbed(t, atMostOnce, 1, 0)
	b.replicas[0].SetFaults(standin.ReplicaFaults{KeepAlive: "timeout=60"})
	for range 5 {
		b.send(context.Background(), "", nil)
		<-b.placer.released
	}
	if n := b.replicas[0].Connections(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

func TestResponseWithoutLengthIsComplete(t *testing.T) {
	b := newTestbed(t, atMostOnce, 1, 0)
	b.replicas[0].SetFaults(standin.ReplicaFaults{Unframed: true})
	if id, a := b.send(context.Background(), "", nil); a.body != "answer to "+id || !a.complete {
		t.Errorf("%+v", a)
	}
}

// TestReusedAddressRunsNothing sends a request to an address that now belongs to another
// endpoint, which must not run it.
func TestReusedAddressRunsNothing(t *testing.T) {
	b := newTestbed(t, atMostOnce, 2, 0)
	b.placer.endpoints[0].ID = "i-gone"
	id, a := b.send(context.Background(), "", nil)
	if a.status != http.StatusOK || len(b.replicas[0].Runs()) != 0 || len(b.runs(id)) != 1 {
		t.Errorf("status %d, %d runs", a.status, len(b.runs(id)))
	}
}

// TestEarlyRefusalOfALongBody has an endpoint refuse a request before it has read the
// body. The rest of the body must not be taken for another request.
func TestEarlyRefusalOfALongBody(t *testing.T) {
	b := newTestbed(t, atMostOnce, 2, 0)
	b.replicas[0].SetFaults(standin.ReplicaFaults{EarlyNotRun: true})
	body := strings.Repeat("x", 512<<10)
	if id, a := b.send(context.Background(), body, nil); a.status != http.StatusOK || len(b.runs(id)) != 1 || b.runs(id)[0].Body != body {
		t.Errorf("status %d, %d runs", a.status, len(b.runs(id)))
	}
}

func TestBodyOverTheLimit(t *testing.T) {
	b := newTestbed(t, atMostOnce, 1, 0)
	if _, a := b.send(context.Background(), strings.Repeat("x", 2<<20), nil); a.status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", a.status)
	}
}

func TestUnknownRoute(t *testing.T) {
	b := newTestbed(t, atMostOnce, 1, 0)
	b.config.current.Routes[0].Prefix = "/other/"
	b.config.current.Index()
	if _, a := b.send(context.Background(), "", nil); a.status != http.StatusNotFound {
		t.Errorf("status %d with a confirmed configuration", a.status)
	}
	b.config.confirmErr = errors.New("store is not reachable")
	if _, a := b.send(context.Background(), "", nil); a.status != http.StatusServiceUnavailable {
		t.Errorf("status %d with a configuration that may be stale", a.status)
	}
	b.config.current = nil
	if _, a := b.send(context.Background(), "", nil); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("status %d without a configuration", a.status)
	}
	b.server.Close()
	if n := strings.Count(b.logLines.String(), `"target":"h.example/p/`); n != 3 {
		t.Errorf("%d of 3 log lines hold the target:\n%s", n, b.logLines.String())
	}
}

// expectedEvents returns the events of a stream that a client should get, those numbered
// from and to included.
func expectedEvents(id string, from, to int) string {
	var out strings.Builder
	for n := from; n <= to; n++ {
		_, _ = fmt.Fprintf(&out, "id: %d\ndata: %s\n\n", n, standin.EventData(id, n))
	}
	return out.String()
}

func TestStreamPassesUnchanged(t *testing.T) {
	b := newTestbed(t, singleRunStream, 1, 9)
	if id, a := b.send(context.Background(), "", nil); a.body != expectedEvents(id, 1, 9) || !a.complete {
		t.Errorf("%+v", a)
	}
}

func TestClientResumesAStream(t *testing.T) {
	b := newTestbed(t, resumable, 1, 9)
	if id, a := b.send(context.Background(), "", map[string]string{"Last-Event-Id": "4"}); a.body != expectedEvents(id, 5, 9) {
		t.Errorf("%+v", a)
	}
}

// TestStreamGoesOnElsewhere breaks a stream in several ways. The client must get every
// event once, and the head of the endpoint that sent the first one.
func TestStreamGoesOnElsewhere(t *testing.T) {
	for name, faults := range map[string]standin.ReplicaFaults{
		"cut": {CutAfter: 3}, "silent": {SilentAfter: 3}, "silent from the start": {Silent: true},
		"event left out": {SkipAfter: 3}, "reset": {ResetBefore: true}, "comments only": {CommentsAfter: 3},
	} {
		b := newTestbed(t, resumable, 2, 9)
		b.replicas[0].SetFaults(faults)
		id, a := b.send(context.Background(), "", nil)
		a.body = strings.ReplaceAll(a.body, standin.Comment, "")
		if a.body != expectedEvents(id, 1, 9) || !a.complete {
			t.Errorf("%s: %+v", name, a)
		}
		runs := b.replicas[1].Runs()
		eventsBefore := faults.CutAfter + faults.SilentAfter + faults.SkipAfter + faults.CommentsAfter
		if len(runs) != 1 || runs[0].After != eventsBefore {
			t.Errorf("%s: runs of the second endpoint: %+v", name, runs)
		}
		firstEndpoint := "i-0"
		if eventsBefore == 0 {
			firstEndpoint = "i-1"
		}
		if a.header.Get("X-Server-Stamp") != standin.StampOf(firstEndpoint, id) {
			t.Errorf("%s: stamp %q", name, a.header.Get("X-Server-Stamp"))
		}
	}
}

// TestBrokenStreamDoesNotLookWhole breaks a stream that may not run again. The client
// must see that the response is incomplete.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	for name, faults := range map[string]standin.ReplicaFaults{"cut": {CutAfter: 3}, "event left out": {SkipAfter: 3}} {
		b := newTestbed(t, singleRunStream, 2, 9)
		b.replicas[0].SetFaults(faults)
		id, a := b.send(context.Background(), "", nil)
		if a.complete || !strings.HasPrefix(expectedEvents(id, 1, 9), a.body) || len(b.runs(id)) != 1 {
			t.Errorf("%s: %+v, %d runs", name, a, len(b.runs(id)))
		}
	}
}

// TestDeadlineEndsASilentRequest checks that a request which may not run again, at an
// endpoint that does not respond, fails at its route's timeout and not before.
func TestDeadlineEndsASilentRequest(t *testing.T) {
	for name, kind := range map[string]route.Route{"plain": atMostOnce, "stream": singleRunStream} {
		kind.Timeout = 1500 * time.Millisecond
		b := newTestbed(t, kind, 2, 9)
		b.replicas[0].SetFaults(standin.ReplicaFaults{Silent: true})
		begun := time.Now()
		id, a := b.send(context.Background(), "", nil)
		if a.status != http.StatusGatewayTimeout || len(b.runs(id)) != 1 {
			t.Errorf("%s: status %d, %d runs", name, a.status, len(b.runs(id)))
		}
		if took := time.Since(begun); took < kind.Timeout {
			t.Errorf("%s: ended after %s", name, took)
		}
	}
}

// TestSlowIdempotentRequestIsHedged has the first endpoint, then both, never respond. The
// hedge must complete the request, and count as one of its attempts.
func TestSlowIdempotentRequestIsHedged(t *testing.T) {
	kind := idempotent
	kind.Objective = 100 * time.Millisecond
	b := newTestbed(t, kind, 2, 0)
	// Each request adds a fraction of a hedge to the budget.
	for range 20 {
		b.send(context.Background(), "", nil)
	}
	b.replicas[0].SetFaults(standin.ReplicaFaults{Silent: true})
	if id, a := b.send(context.Background(), "", nil); a.body != "answer to "+id {
		t.Errorf("%+v", a)
	}
	b.replicas[1].SetFaults(standin.ReplicaFaults{Silent: true})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if id, _ := b.send(ctx, "", nil); len(b.runs(id)) > kind.MaxAttempts {
		t.Errorf("%d runs", len(b.runs(id)))
	}
}

// TestHedgeKnowsTheEndpointOfTheFirstAttempt guards against a hedge that goes to the endpoint of the
// attempt beside it, so that one failure ends both: the first attempt waits for its placement for longer
// than a hedge is delayed.
func TestHedgeKnowsTheEndpointOfTheFirstAttempt(t *testing.T) {
	kind := idempotent
	kind.Objective = 100 * time.Millisecond
	b := newTestbed(t, kind, 2, 0)
	b.forwarder.hedges.tokens = hedgeBurst
	b.replicas[0].SetFaults(standin.ReplicaFaults{Silent: true})
	b.placer.delay = 2 * kind.Objective
	if id, a := b.send(context.Background(), "", nil); a.body != "answer to "+id {
		t.Errorf("%+v", a)
	}
	b.placer.mu.Lock()
	defer b.placer.mu.Unlock()
	if len(b.placer.requests) != 2 || !slices.Equal(b.placer.requests[1].Avoid, []string{b.placer.endpoints[0].ID}) {
		t.Errorf("%d placements, the last one avoids %v", len(b.placer.requests), b.placer.requests[len(b.placer.requests)-1].Avoid)
	}
}

// TestEndpointStopsWhenTheClientDisconnects closes the client's connection in the middle of
// a stream. The placement must be released, and the endpoint must stop working.
func TestEndpointStopsWhenTheClientDisconnects(t *testing.T) {
	b := newTestbed(t, singleRunStream, 1, 1<<20)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/p/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", "leaves")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = resp.Body.Close()
	select {
	case u := <-b.placer.released:
		if u.Outcome != OutcomeAbandoned {
			t.Errorf("outcome %s", u.Outcome)
		}
	case <-time.After(testTimeout):
		t.Fatal("the place was not released")
	}
	deadline := time.Now().Add(testTimeout)
	for b.runs("leaves")[0].Ended != "left" {
		if time.Now().After(deadline) {
			t.Fatal("the endpoint still runs the request")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestStreamThatEndsInsideAnEventIsBrokenOff ends streams with their connection, with and
// without chunks: one that ends between events is complete, one that ends inside an event
// goes on elsewhere if it may, and does not look complete if not.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for name, faults := range map[string]standin.ReplicaFaults{
		"complete": {Unframed: true}, "inside an event": {Unframed: true, EndInsideAfter: 3}, "inside an event, in chunks": {EndInsideAfter: 3},
	} {
		b := newTestbed(t, resumable, 2, 8)
		b.replicas[0].SetFaults(faults)
		id, a := b.send(context.Background(), "", nil)
		if want := expectedEvents(id, 1, 8); a.body != want || !a.complete {
			t.Errorf("%s: complete %t, %d runs, body %q", name, a.complete, len(b.runs(id)), a.body)
		}
		b = newTestbed(t, singleRunStream, 2, 8)
		b.replicas[0].SetFaults(faults)
		if id, a := b.send(context.Background(), "", nil); a.complete != (faults.EndInsideAfter == 0) || len(b.runs(id)) != 1 {
			t.Errorf("%s, single run: complete %t, %d runs, body %q", name, a.complete, len(b.runs(id)), a.body)
		}
	}
}
