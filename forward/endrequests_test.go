package forward

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
)

// awaitPlacement waits until a request asks for a place.
func (b *testbed) awaitPlacement() {
	b.t.Helper()
	asked := func() bool { b.placer.mu.Lock(); defer b.placer.mu.Unlock(); return len(b.placer.requests) > 0 }
	for deadline := time.Now().Add(testTimeout); !asked(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			b.t.Fatal("no request asked for a place")
		}
	}
}

// TestRequestsAtTheEndOfTheGracePeriodAreAnswered ends the requests of a host that has no more
// time to shut down, once they have come as far as the case says.
func TestRequestsAtTheEndOfTheGracePeriodAreAnswered(t *testing.T) {
	t.Parallel()
	for name, one := range map[string]struct {
		route  route.Route
		faults standin.ReplicaFaults
		full   bool
		status int
		// retry is whether the answer says when to come again.
		retry bool
	}{
		"waits for a place":      {atMostOnce, standin.ReplicaFaults{}, true, http.StatusServiceUnavailable, true},
		"at an endpoint":         {atMostOnce, standin.ReplicaFaults{Silent: true}, false, http.StatusBadGateway, false},
		"idempotent, may repeat": {idempotent, standin.ReplicaFaults{Silent: true}, false, http.StatusBadGateway, false},
		"stream not begun":       {resumable, standin.ReplicaFaults{Silent: true}, false, http.StatusBadGateway, false},
	} {
		b := newTestbed(t, one.route, 2, 9)
		b.placer.full = one.full
		b.replicas[0].SetFaults(one.faults)
		answers := make(chan response, 1)
		go func() {
			_, a := b.send(context.Background(), "body", nil)
			answers <- a
		}()
		if one.full {
			b.awaitPlacement()
		} else {
			b.awaitRun()
		}
		b.forwarder.EndRequests()
		a := <-answers
		if a.status != one.status || !a.complete || (a.header.Get("Retry-After") != "") != one.retry {
			t.Errorf("%s: status %d, complete %t, Retry-After %q", name, a.status, a.complete, a.header.Get("Retry-After"))
		}
	}
}

// TestStreamAtTheEndOfTheGracePeriodNamesItsCause breaks off a stream that has begun, as it
// can't be answered otherwise.
func TestStreamAtTheEndOfTheGracePeriodNamesItsCause(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, singleRunStream, 1, 9)
	b.replicas[0].SetFaults(standin.ReplicaFaults{SilentAfter: 3})
	time.AfterFunc(200*time.Millisecond, b.forwarder.EndRequests)
	if _, a := b.send(context.Background(), "", nil); a.status != http.StatusOK || a.complete {
		t.Errorf("status %d, complete %t", a.status, a.complete)
	}
	if got := b.endings(); len(got) != 1 || got[0].EndedBy != string(hostShutDown) || got[0].Phase != string(passingResponse) {
		t.Errorf("%+v", got)
	}
}

// TestWhatRequestsWaitForEndsWithTheHost ends the time of a host while requests wait for the rest
// of their bodies, for the newest configuration, and for a call of a batch job. Each is answered.
func TestWhatRequestsWaitForEndsWithTheHost(t *testing.T) {
	t.Parallel()
	afterContext := func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	afterBody := func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	for name, one := range map[string]struct {
		route    route.Route
		promised string
		host     string
		jobs     http.HandlerFunc
		status   int
	}{
		"body":               {idempotent, "100", "h.example", nil, http.StatusServiceUnavailable},
		"newest routes":      {idempotent, "0", "new.example", nil, http.StatusServiceUnavailable},
		"job call":           {route.Route{Kind: route.Batch}, "0", "h.example", afterContext, http.StatusGatewayTimeout},
		"body of a job call": {route.Route{Kind: route.Batch}, "100", "h.example", afterBody, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, one.route, 1, 0)
			b.config.waits, b.jobs = true, one.jobs
			c := b.dialHost(one.host, one.promised)
			time.AfterFunc(100*time.Millisecond, b.forwarder.EndRequests)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != one.status {
				t.Errorf("status %d, error %v", resp.StatusCode, err)
			}
			if one.promised != "0" && !resp.Close {
				t.Error("what follows of the body would be taken for a request")
			}
			if len(b.replicas[0].Runs()) > 0 {
				t.Error("the request ran")
			}
		})
	}
}
