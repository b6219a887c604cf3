package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
)

// TestEveryAnswerMayTellOfLeaving has an endpoint announce that it is leaving in each
// kind of response. Each time, the Forwarder must report the incarnation to which it
// sent the request.
func TestEveryAnswerMayTellOfLeaving(t *testing.T) {
	want := endpoint.Incarnation{ID: "i-0", Started: time.UnixMilli(1)}
	for name, c := range map[string]struct {
		kind   route.Route
		events int
		faults standin.ReplicaFaults
		// resumed is the id of the last event that the client has, or empty.
		resumed string
	}{
		"plain response":           {kind: idempotent},
		"response without length":  {kind: idempotent, faults: standin.ReplicaFaults{Unframed: true}},
		"refusal":                  {kind: idempotent, faults: standin.ReplicaFaults{NotRun: true}},
		"refusal before the body":  {kind: idempotent, faults: standin.ReplicaFaults{EarlyNotRun: true}},
		"failure":                  {kind: atMostOnce, faults: standin.ReplicaFaults{Status: http.StatusInternalServerError}},
		"response of status 4xx":   {kind: atMostOnce, faults: standin.ReplicaFaults{Status: http.StatusUnprocessableEntity}},
		"truncated response":       {kind: atMostOnce, faults: standin.ReplicaFaults{Cut: true}},
		"stream":                   {kind: resumable, events: 5},
		"truncated stream":         {kind: resumable, events: 5, faults: standin.ReplicaFaults{CutAfter: 2}},
		"resumed stream":           {kind: resumable, events: 5, resumed: "2"},
		"after a foreign response": {kind: idempotent, faults: standin.ReplicaFaults{Foreign: true}},
	} {
		b := newTestbed(t, c.kind, 1, c.events)
		c.faults.Leaving = true
		b.replicas[0].SetFaults(c.faults)
		header := map[string]string{}
		if c.resumed != "" {
			header["Last-Event-Id"] = c.resumed
		}
		b.send(context.Background(), "", header)
		select {
		case got := <-b.leaving:
			if got != want {
				t.Errorf("%s: %+v was reported as leaving", name, got)
			}
		default:
			t.Errorf("%s: no endpoint was reported as leaving", name)
		}
	}
}

// TestAnotherEndpointsAnswerTellsNothing sends a request to an endpoint that announces
// nothing, and one to an address reused by another endpoint that announces that it is
// leaving. Neither may cause a report.
func TestAnotherEndpointsAnswerTellsNothing(t *testing.T) {
	b := newTestbed(t, idempotent, 1, 0)
	b.send(context.Background(), "", nil)
	b.placer.endpoints[0].ID = "i-before"
	b.replicas[0].SetFaults(standin.ReplicaFaults{Leaving: true})
	b.send(context.Background(), "", nil)
	if len(b.leaving) > 0 {
		t.Errorf("%+v was reported as leaving", <-b.leaving)
	}
}
