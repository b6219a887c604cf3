package gateway

import (
	"testing"

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
