package balance

import (
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

var now = time.Unix(1000, 0)

func nobody(string) bool { return false }

// newTestBalancer is of a host in zone a; zones a and b are of one region.
func newTestBalancer() *Balancer {
	return New("a", map[string]string{"a": "r", "b": "r", "c": "far"})
}

func at(id, zone string, slots int) *endpoint.Endpoint {
	return &endpoint.Endpoint{ID: id, Zone: zone, Slots: slots, State: endpoint.Ready}
}

// choose returns the id of the endpoint chosen.
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
	endpoints := []*endpoint.Endpoint{at("near", "a", 4), at("next", "b", 4), at("far", "c", 4)}
	got := make(map[string]int)
	for range 3 {
		got[choose(t, b, now, endpoints, nobody)]++
	}
	// Two slots of four in use are as dear as the next zone.
	if got["near"] != 3 && got["near"] != 2 || got["far"] > 0 {
		t.Errorf("chosen %v", got)
	}
	for range 7 {
		got[choose(t, b, now, endpoints, nobody)]++
	}
	if got["near"] > 4 || got["next"] > 4 || got["far"] == 0 {
		t.Errorf("an endpoint is overfull while others are free: %v", got)
	}
}

// TestBrokenEndpointRests chooses after a failure: the other endpoint, though it is
// full, then the broken one when its time is over.
func TestBrokenEndpointRests(t *testing.T) {
	b := newTestBalancer()
	endpoints := []*endpoint.Endpoint{at("bad", "a", 8), at("full", "c", 1)}
	if got := choose(t, b, now, endpoints, nobody); got != "bad" {
		t.Fatalf("chose %s", got)
	}
	b.Done(now, "bad", Broken)
	for range 3 {
		if got := choose(t, b, now, endpoints, nobody); got != "full" {
			t.Errorf("chose %s right after a failure", got)
		}
	}
	later := now.Add(time.Duration(Broken))
	if got := choose(t, b, later, endpoints, nobody); got != "bad" {
		t.Errorf("chose %s when the penalty was over", got)
	}
}

// TestShorterPenaltyDoesNotEndALongerOne follows a failure by a slow answer, and then
// by a good one.
func TestShorterPenaltyDoesNotEndALongerOne(t *testing.T) {
	b := newTestBalancer()
	endpoints := []*endpoint.Endpoint{at("bad", "a", 8), at("other", "c", 8)}
	b.Done(now, "bad", Broken)
	b.Done(now, "bad", Slow)
	if got := choose(t, b, now.Add(time.Duration(Slow)), endpoints, nobody); got != "other" {
		t.Errorf("chose %s", got)
	}
	b.Done(now, "bad", None)
	if got := choose(t, b, now, endpoints, nobody); got != "bad" {
		t.Errorf("chose %s after a good answer", got)
	}
}

func TestAvoidedEndpointsAreNotChosen(t *testing.T) {
	b := newTestBalancer()
	endpoints := []*endpoint.Endpoint{at("x", "a", 1), at("y", "c", 1)}
	if got := choose(t, b, now, endpoints, func(id string) bool { return id == "x" }); got != "y" {
		t.Errorf("chose %s", got)
	}
	if e := b.Choose(now, endpoints, func(string) bool { return true }); e != nil {
		t.Errorf("chose %s of none", e.ID)
	}
}
