package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/sse"
	"github.com/peridotmount/peridotmount/standin"
)

// noStreams returns answers that are no event stream: failures of each status, and successes of
// another kind.
func noStreams() []standin.Answer {
	var out []standin.Answer
	for _, status := range []int{301, 302, 304, 307, 400, 401, 404, 408, 413, 421, 422, 429, 431, 500, 502, 503, 504} {
		for _, body := range []string{"", "failed\n\n", "id: 4\ndata: failed\n\n"} {
			if status == http.StatusNotModified && body != "" {
				continue
			}
			for _, a := range []standin.Answer{{}, {NotRun: true}, {NoStamp: true, Unframed: true}} {
				a.Status, a.Body, a.Type = status, body, "text/plain"
				out = append(out, a)
			}
		}
	}
	for _, status := range []int{http.StatusOK, http.StatusCreated, http.StatusAccepted, http.StatusNoContent, http.StatusPartialContent} {
		for _, body := range []string{"", "{}\n\n", "failed", ": failed\n\n", "id: 4\ndata: failed\n\n"} {
			for _, kind := range []string{"", "text/plain"} {
				for _, a := range []standin.Answer{{}, {NoStamp: true}, {Unframed: true}} {
					a.Status, a.Body, a.Type = status, body, kind
					out = append(out, a)
				}
			}
		}
	}
	return append(out, standin.Answer{Status: http.StatusOK, Type: sse.ContentType, NoStamp: true, Body: "id: 1\ndata: x\n\n"},
		standin.Answer{Status: http.StatusOK, Type: sse.ContentType, Body: "event: error\n\n"},
		standin.Answer{Status: http.StatusOK, Type: sse.ContentType, Body: "{\"error\": \"failed\"}\n\n"},
		standin.Answer{Status: http.StatusOK, Type: sse.ContentType, Body: "failed\n\n"})
}

// breaks are the places at which a stream breaks off, with the number of events before.
var breaks = map[string]struct {
	faults standin.ReplicaFaults
	events int
}{
	"before the head":        {standin.ReplicaFaults{ResetBefore: true}, 0},
	"before the first event": {standin.ReplicaFaults{CutAtHead: true}, 0},
	"after events":           {standin.ReplicaFaults{CutAfter: 3}, 3},
}

// TestErrorBehindABrokenStreamIsNoPartOfIt breaks a stream off; the next endpoint answers with an
// error. The client must get nothing of the error behind events, and no end that looks complete;
// and the whole stream if a third endpoint may go on with it.
func TestErrorBehindABrokenStreamIsNoPartOfIt(t *testing.T) {
	for name, c := range breaks {
		for _, attempts := range []int{2, 3} {
			kind := route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: attempts, Timeout: testTimeout}
			b := newTestbed(t, kind, attempts, 6)
			b.ignoreReleases()
			for _, r := range b.replicas {
				r.Pace = 0
			}
			b.replicas[0].SetFaults(c.faults)
			for _, r := range b.replicas[2:] {
				// A stand-in closes the connection after each whole stream.
				r.SetFaults(standin.ReplicaFaults{Announced: true})
			}
			for _, answer := range noStreams() {
				b.replicas[1].SetFaults(standin.ReplicaFaults{Answer: &answer})
				id, a := b.send(context.Background(), "", nil)
				if problem := checkBroken(id, &a, c.events, &answer, attempts); problem != "" {
					t.Errorf("%s, %d attempts, then %+v: %s: status %d, complete %t, body %q", name, attempts, answer, problem, a.status, a.complete, a.body)
				}
			}
		}
	}
}

// checkBroken returns what is wrong with the response to a request whose stream broke after some
// events, and whose next endpoint gave an answer that is no stream.
func checkBroken(id string, a *response, events int, answer *standin.Answer, attempts int) string {
	last := events
	if attempts > 2 {
		last = 6
	}
	switch {
	case a.status == http.StatusOK && a.complete && a.body != expectedEvents(id, 1, 6):
		return "looks complete"
	case a.status == http.StatusOK && a.body != expectedEvents(id, 1, last):
		return "other bytes than the events"
	case events > 0 && a.status != http.StatusOK:
		return "the events are missing"
	case attempts > 2 && events > 0 && !a.complete:
		return "did not go on elsewhere"
	case a.status != 0 && a.status != http.StatusOK && a.header.Get("X-Server-Stamp") != "" && (a.status != answer.Status || a.status < http.StatusMultipleChoices || a.body != answer.Body):
		return "not the failure of the endpoint"
	}
	return ""
}

// TestAnswerThatIsNoStream has the only endpoint of a stream answer with something else: a success
// must not be passed on as a complete stream, a failure whole or not at all.
func TestAnswerThatIsNoStream(t *testing.T) {
	b := newTestbed(t, singleRunStream, 1, 6)
	b.ignoreReleases()
	for _, answer := range noStreams() {
		b.replicas[0].SetFaults(standin.ReplicaFaults{Answer: &answer})
		id, a := b.send(context.Background(), "", nil)
		if problem := checkBroken(id, &a, 0, &answer, 1); problem != "" {
			t.Errorf("%+v: %s: status %d, complete %t, body %q", answer, problem, a.status, a.complete, a.body)
		}
	}
}

// TestErrorInsideAStream has an endpoint write an error between the events of its stream, with and
// without chunks. The client must get the events only.
func TestErrorInsideAStream(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: q0\r\nContent-Length: 7\r\n\r\n"
	for _, unframed := range []bool{true, false} {
		for _, inside := range []string{
			head, head + "not run", head + "not run\n\n", strings.ReplaceAll(head, "\r\n", "\n"), "failed\n", "failed\n\n", "{\"error\": \"failed\"}\n\n",
			"too busy: come back later\n\n", "X-Not-Run: 1\n\n", "X-Not-Run: 1\nRetry-After: 2\n\n", ": a comment\nfailed\n\n",
		} {
			b := newTestbed(t, resumable, 2, 8)
			b.replicas[0].SetFaults(standin.ReplicaFaults{Unframed: unframed, InsideAfter: 3, Inside: inside})
			if id, a := b.send(context.Background(), "", nil); a.body != expectedEvents(id, 1, 8) || !a.complete {
				t.Errorf("unframed %t, %q: complete %t, body %q", unframed, inside, a.complete, a.body)
			}
		}
	}
}

// TestStreamFieldsPass checks that all that the events of a sound stream may hold is passed on.
func TestStreamFieldsPass(t *testing.T) {
	for _, inside := range []string{"", ": comment\n\n", "retry: 10\n\n", "\n", "\r\n\r\n", "data\n\n", "x-weight-versions: 3\n", "event: token\n", "x-a:b\n"} {
		b := newTestbed(t, singleRunStream, 1, 8)
		b.replicas[0].SetFaults(standin.ReplicaFaults{Unframed: true, InsideAfter: 3, Inside: inside})
		id, a := b.send(context.Background(), "", nil)
		if want := expectedEvents(id, 1, 3) + inside + expectedEvents(id, 4, 8); a.body != want || !a.complete {
			t.Errorf("%q: complete %t, body %q", inside, a.complete, a.body)
		}
	}
}
