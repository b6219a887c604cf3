package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/balance"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/forward"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
)

// TestOlderRecordIsNotTheEndpointsWord checks how a slot is returned whose endpoint this host knows
// otherwise than the scheduler.
func TestOlderRecordIsNotTheEndpointsWord(t *testing.T) {
	v1 := "v1"
	begins := &forward.PlacementRequest{}
	goesOn := &forward.PlacementRequest{Resumes: "r", Version: &v1}
	stream := &forward.PlacementRequest{Route: &route.Route{Kind: route.Streaming}}
	for name, c := range map[string]struct {
		ask    *forward.PlacementRequest
		e      *endpoint.Endpoint
		want   scheduler.Outcome
		usable bool
	}{
		"no record":                    {begins, nil, scheduler.Unread, false},
		"ready":                        {begins, &endpoint.Endpoint{Version: "v2"}, "", true},
		"draining":                     {begins, &endpoint.Endpoint{Version: "v1", State: endpoint.Draining}, scheduler.Leaving, false},
		"a stream begins":              {stream, &endpoint.Endpoint{Version: "v1"}, "", true},
		"begins at a disputed version": {stream, &endpoint.Endpoint{Version: "v2"}, scheduler.Unread, false},
		"another version goes on":      {goesOn, &endpoint.Endpoint{Version: "v2"}, scheduler.Unread, false},
		"the version goes on":          {goesOn, &endpoint.Endpoint{Version: "v1"}, "", true},
		"the version goes on, leaving": {goesOn, &endpoint.Endpoint{Version: "v1", State: endpoint.Draining}, scheduler.Leaving, false},
	} {
		if got, usable := usableGrant(c.ask, "v1", c.e); got != c.want || usable != c.usable {
			t.Errorf("%s: %q, %t", name, got, usable)
		}
	}
	if got, usable := usableGrant(stream, "", &endpoint.Endpoint{Version: "v2"}); !usable {
		t.Errorf("a scheduler that says no version: %q", got)
	}
}

// TestOlderRecordExcludesThisHostOnly checks what the scheduler is told if an endpoint has started again
// since its record that this host has read.
func TestOlderRecordExcludesThisHostOnly(t *testing.T) {
	if got := outcomeOf(forward.Usage{Outcome: forward.OutcomeUnread}); got != scheduler.Unread {
		t.Errorf("%q, want %q", got, scheduler.Unread)
	}
}

// TestServerErrorIsNoSuccess guards against an endpoint that answers everything with 500 and is reported to
// the scheduler like one that serves.
func TestServerErrorIsNoSuccess(t *testing.T) {
	for _, c := range []struct {
		use  forward.Usage
		want scheduler.Outcome
	}{
		{forward.Usage{Outcome: forward.OutcomeFailed, ServerError: true}, scheduler.Errored},
		{forward.Usage{Outcome: forward.OutcomeFailed}, scheduler.Finished},
		{forward.Usage{Outcome: forward.OutcomeAnswered}, scheduler.Finished},
		{forward.Usage{Outcome: forward.OutcomeTruncated, ServerError: true}, scheduler.Failed},
		{forward.Usage{Outcome: forward.OutcomeHedgeLost}, scheduler.Failed},
	} {
		if got := outcomeOf(c.use); got != c.want {
			t.Errorf("%+v: %q, want %q", c.use, got, c.want)
		}
	}
}

// TestPlainEndpointThatErrsIsNotPreferred guards against a plain endpoint that answers 500 at once and is
// chosen again for its free slots, and against a change where feedback is off.
func TestPlainEndpointThatErrsIsNotPreferred(t *testing.T) {
	for _, feedback := range []bool{true, false} {
		var out bytes.Buffer
		p := &placer{balancer: balance.New("a", nil), feedback: feedback, logger: log.NewJSONLogger(&out)}
		endpoints := []*endpoint.Endpoint{{ID: "near", Zone: "a", Slots: 8}, {ID: "far", Zone: "b", Slots: 8}}
		choose := func() *endpoint.Endpoint {
			return p.balancer.Choose(time.Now(), endpoints, func(string) bool { return false })
		}
		(&balancedPlace{placer: p, endpoint: choose(), request: "r1"}).Release(forward.Usage{Outcome: forward.OutcomeFailed, ServerError: true})
		if e := choose(); (e.ID == "far") != feedback {
			t.Errorf("feedback %t: %s was chosen after a server error", feedback, e.ID)
		}
		if logged := strings.Contains(out.String(), `"request":"r1"`); logged != feedback {
			t.Errorf("feedback %t: %s", feedback, out.String())
		}
	}
}
