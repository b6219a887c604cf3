package balance

import (
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

var now = time.Unix(1000, 0)

func avoidNone(string) bool { return false }

// newTestBalancer returns the Balancer of a host in zone a. Zones a and b are in the same
// region.
func newTestBalancer() *Balancer {
	return New("a", map[string]string{"a": "r", "b": "r", "c": "far"})
}

func newEndpoint(id, zone string, slots int) *endpoint.Endpoint {
	return &endpoint.Endpoint{ID: id, Zone: zone, Slots: slots, State: endpoint.Ready}
}

// choose returns the id of the chosen endpoint.
func choose(t *testing.T, b *Balancer, at time.Time, endpoints []*endpoint.Endpoint, avoid func(string) bool) string {
	t.Helper()
	e := b.Choose(at, endpoints, avoid)
	if e == nil {
		t.Fatal("no endpoint was chosen")
	}
	return e.ID
}

func TestNearEndpointsFillFirst(t *testing.T) {
	b := newTestBalancer()
	endpoints := []*endpoint.Endpoint{newEndpoint("near", "a", 4), newEndpoint("next", "b", 4), newEndpoint("far", "c", 4)}
	got := make(map[string]int)
	for range 3 {
		got[choose(t, b, now, endpoints, avoidNone)]++
	}
	// Two of four slots in use cost as much as the next zone.
	if got["near"] != 3 && got["near"] != 2 || got["far"] > 0 {
		t.Errorf("chosen %v", got)
	}
	for range 7 {
		got[choose(t, b, now, endpoints, avoidNone)]++
	}
	if got["near"] > 4 || got["next"] > 4 || got["far"] == 0 {
		t.Errorf("an endpoint got more requests than slots while others had free slots: %v", got)
	}
}

// TestBrokenEndpointIsAvoidedDuringPenalty checks that the other endpoint is chosen after a
// failure, although it is full, and the failed one again once its penalty is over.
func TestBrokenEndpointIsAvoidedDuringPenalty(t *testing.T) {
	b := newTestBalancer()
	endpoints := []*endpoint.Endpoint{newEndpoint("bad", "a", 8), newEndpoint("full", "c", 1)}
	if got := choose(t, b, now, endpoints, avoidNone); got != "bad" {
		t.Fatalf("chose %s", got)
	}
	b.Done(now, "bad", Failed)
	for range 3 {
		if got := choose(t, b, now, endpoints, avoidNone); got != "full" {
			t.Errorf("chose %s right after a failure", got)
		}
	}
	later := now.Add(time.Duration(Failed))
	if got := choose(t, b, later, endpoints, avoidNone); got != "bad" {
		t.Errorf("chose %s when the penalty was over", got)
	}
}

// TestShorterPenaltyDoesNotEndALongerOne checks that a slow answer after a failure does not
// shorten the penalty, and that a good answer ends it.
func TestShorterPenaltyDoesNotEndALongerOne(t *testing.T) {
	b := newTestBalancer()
	endpoints := []*endpoint.Endpoint{newEndpoint("bad", "a", 8), newEndpoint("other", "c", 8)}
	b.Done(now, "bad", Failed)
	b.Done(now, "bad", Slow)
	if got := choose(t, b, now.Add(time.Duration(Slow)), endpoints, avoidNone); got != "other" {
		t.Errorf("chose %s during the longer penalty", got)
	}
	b.Done(now, "bad", None)
	if got := choose(t, b, now, endpoints, avoidNone); got != "bad" {
		t.Errorf("chose %s after a good answer", got)
	}
}

func TestAvoidedEndpointsAreNotChosen(t *testing.T) {
	b := newTestBalancer()
	endpoints := []*endpoint.Endpoint{newEndpoint("x", "a", 1), newEndpoint("y", "c", 1)}
	if got := choose(t, b, now, endpoints, func(id string) bool { return id == "x" }); got != "y" {
		t.Errorf("chose %s", got)
	}
	if e := b.Choose(now, endpoints, func(string) bool { return true }); e != nil {
		t.Errorf("chose %s, though all endpoints were to be avoided", e.ID)
	}
}
