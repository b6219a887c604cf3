package scheduler

import (
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/promptcache"
)

// TestWaitsFollowFeedback guards against a choice by waits that takes no account of what feedback
// tells: the learned pace, and that an endpoint under test gets no request that can't be repeated,
// even if it has the prompt cached.
func TestWaitsFollowFeedback(t *testing.T) {
	c := NewCore(Options{EndpointFeedback: true, WeighWaits: true})
	c.SetEndpoints(replayStart, []Endpoint{{ID: "a", Service: "s", Slots: 8}, {ID: "b", Service: "s", Slots: 8}})
	c.Join(replayStart, &Hello{Host: "h"})
	v, a := c.service("s"), c.endpoints["a"]
	chain := promptcache.NewChain("", []string{"p", "own"}, []int{13_000, 50}, 13_050)
	p := &placement{host: c.members["h"], chain: &chain, expected: 1000, left: time.Hour}
	room := func(*endpointState) bool { return true }
	a.cache.Load(&chain, 1)
	if s := v.cheapest(replayStart, p, room); s != a {
		t.Fatalf("placed at %s, not where the prompt is cached", s.ID)
	}
	a.speed.eventRatio = 4
	a.refresh()
	within(t, "pace", at(c, v, p, "a").Pace, 1000, 2000)
	if s := v.cheapest(replayStart, p, room); s == a {
		t.Error("placed at the slow endpoint")
	}
	a.speed.eventRatio = 1
	a.refresh()
	suspect(c, "a")
	v.prepareAdmission(replayStart, p)
	if s := v.cheapest(replayStart, p, room); s == a {
		t.Error("placed at the suspected endpoint")
	}
}
