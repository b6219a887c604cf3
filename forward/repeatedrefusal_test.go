package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/standin"
)

// refusals returns every kind of refusal.
func refusals() []standin.Refusal {
	var out []standin.Refusal
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest, http.StatusRequestTimeout} {
		for _, unnamed := range []bool{false, true} {
			for _, body := range []string{"", "not run"} {
				out = append(out, standin.Refusal{Status: status, Unnamed: unnamed, Body: body})
			}
		}
	}
	return out
}

// TestRepeatedRefusalIsNotTakenForTheNextRequest has an endpoint write the refusal of one request
// once more, on a kept connection, around its answer to a later one. That one is at the endpoint:
// it must neither be rejected nor run elsewhere.
func TestRepeatedRefusalIsNotTakenForTheNextRequest(t *testing.T) {
	for _, refusal := range refusals() {
		for _, at := range []standin.RepeatAt{standin.RepeatBefore, standin.RepeatBehind} {
			t.Run(fmt.Sprintf("%+v %s", refusal, at), func(t *testing.T) {
				b := newTestbed(t, atMostOnce, 2, 0)
				faulty := b.replicas[0]
				faulty.SetFaults(standin.ReplicaFaults{NotRun: true, Refusal: refusal})
				if id, a := b.send(context.Background(), "", nil); a.body != "answer to "+id || len(faulty.Runs()) != 0 {
					t.Fatalf("refused request: %+v, %d runs at its endpoint", a, len(faulty.Runs()))
				}
				faulty.SetFaults(standin.ReplicaFaults{})
				b.send(context.Background(), "", nil)
				before := faulty.Connections()
				faulty.SetFaults(standin.ReplicaFaults{Repeat: at})
				for i := range 3 {
					id, a := b.send(context.Background(), "", nil)
					answered := a.status == http.StatusOK && a.body == "answer to "+id
					// Without its id, the refusal may be that of this request.
					unknown := refusal.Unnamed && at == standin.RepeatBefore && a.status == http.StatusBadGateway
					if !answered && !unknown || len(b.runs(id)) != 1 {
						t.Errorf("request %d: status %d, body %q, %d runs", i, a.status, a.body, len(b.runs(id)))
					}
					if i == 0 && faulty.Connections() != before {
						t.Errorf("request 0 was sent on a new connection, on which nothing is repeated")
					}
				}
			})
		}
	}
}

// TestRefusedRequestDoesNotComeAgainOnItsConnection sends a request to the endpoint that refused
// it. The endpoint runs it now, and repeats the refusal, which has the request's own id.
func TestRefusedRequestDoesNotComeAgainOnItsConnection(t *testing.T) {
	for _, refusal := range refusals() {
		t.Run(fmt.Sprintf("%+v", refusal), func(t *testing.T) {
			b := newTestbed(t, atMostOnce, 1, 0)
			b.placer.mayRepeat = true
			b.replicas[0].SetFaults(standin.ReplicaFaults{RefuseFirst: true, Refusal: refusal, Repeat: standin.RepeatBefore})
			if id, a := b.send(context.Background(), "", nil); a.body != "answer to "+id || len(b.runs(id)) != 1 {
				t.Errorf("status %d, body %q, %d runs", a.status, a.body, len(b.runs(id)))
			}
		})
	}
}

// TestRefusalsWithoutAnIDAreBelievedOnNewConnections checks that a sound endpoint whose refusals
// don't name the request may refuse one as its first on a connection.
func TestRefusalsWithoutAnIDAreBelievedOnNewConnections(t *testing.T) {
	b := newTestbed(t, atMostOnce, 2, 0)
	b.replicas[0].SetFaults(standin.ReplicaFaults{NotRun: true, Refusal: standin.Refusal{Unnamed: true}})
	if id, a := b.send(context.Background(), "", nil); a.body != "answer to "+id {
		t.Errorf("%+v", a)
	}
}

// TestRequestsWithoutAnID has an endpoint refuse requests that carry no id, as it must: no answer
// to them can be told from those to others, so that they are refused on connections of their own.
func TestRequestsWithoutAnID(t *testing.T) {
	b := newTestbed(t, atMostOnce, 1, 0)
	b.replicas[0].SetFaults(standin.ReplicaFaults{NotRun: true, Refusal: standin.Refusal{Status: http.StatusBadRequest, Unnamed: true}})
	for range 3 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.server.URL+"/p/", strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h.example"
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
}
