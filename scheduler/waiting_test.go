package scheduler

import (
	"testing"
	"time"
)

// waitingCore returns a core with feedback and hosts h and g, where all requests wait rather than
// being refused.
func waitingCore(endpoints ...Endpoint) *Core {
	c := NewCore(Options{EndpointFeedback: true})
	for i := range endpoints {
		endpoints[i].Service = "s"
	}
	c.SetEndpoints(replayStart, endpoints)
	c.Join(replayStart, &Hello{Host: "h"})
	c.Join(replayStart, &Hello{Host: "g"})
	return c
}

func patient(ticket string, tokens int) SlotRequest {
	return SlotRequest{Ticket: ticket, Service: "s", Objective: time.Hour, Left: time.Hour, PromptTokens: tokens}
}

func suspect(c *Core, endpoint string) {
	s := c.endpoints[endpoint]
	s.health.evidence, s.health.notBefore = suspectEvidence, replayStart.Add(time.Hour)
	c.setLevel(replayStart, c.service("s"), s, healthSuspected, nil, nil)
}

// use has a request use an endpoint.
func use(c *Core, endpoint, id string, tokens int) {
	c.occupy(replayStart, c.endpoints[endpoint], &ticket{id: id, host: "h", class: Online, since: replayStart, tokens: tokens}, nil)
}

// TestBadPathHoldsUpNoOtherHost guards against a slot that stays free, as the first request in the
// queue is of a host with a bad path to its endpoint.
func TestBadPathHoldsUpNoOtherHost(t *testing.T) {
	for _, tested := range []bool{false, true} {
		c := waitingCore(Endpoint{ID: "full", Slots: 1}, Endpoint{ID: "free", Slots: 1}, Endpoint{ID: "tested", Slots: 1})
		use(c, "full", "0", 1)
		if tested {
			suspect(c, "tested")
		} else {
			use(c, "tested", "1", 1)
		}
		c.members["h"].paths = map[string]*pathState{"free": {failures: 2, last: replayStart, bad: true, until: replayStart.Add(time.Hour)}}
		c.Acquire(replayStart, "h", patient("a", 1))
		c.Acquire(replayStart, "g", patient("b", 1))
		if got := grants(c); got["a"] != "" || got["b"] != "free" {
			t.Errorf("another endpoint under test %v: granted %v", tested, got)
		}
	}
}

// TestVersionHoldsUpNoOtherRequests guards against a slot that stays free, as a request waits for
// an endpoint of another version while some endpoint is under test.
func TestVersionHoldsUpNoOtherRequests(t *testing.T) {
	c := waitingCore(Endpoint{ID: "full", Slots: 1, Version: "1"}, Endpoint{ID: "free", Slots: 1, Version: "2"}, Endpoint{ID: "tested", Slots: 1, Version: "2"})
	use(c, "full", "0", 1)
	suspect(c, "tested")
	versioned, version := patient("a", 1), "1"
	versioned.Version = &version
	c.Acquire(replayStart, "h", versioned)
	c.Acquire(replayStart, "h", patient("b", 1))
	if got := grants(c); got["a"] != "" || got["b"] != "free" {
		t.Errorf("granted %v", got)
	}
}

// TestNoItemsBeforeARequestThatWaits guards against batch items that take the memory for which a
// request waits that can't be repeated, while some endpoint is under test. Each of them would be
// revoked for the request at once.
func TestNoItemsBeforeARequestThatWaits(t *testing.T) {
	for _, underTest := range []bool{false, true} {
		c := waitingCore(Endpoint{ID: "sound", Slots: 8, CacheTokens: 1000}, Endpoint{ID: "tested", Slots: 8})
		use(c, "sound", "0", 600)
		if underTest {
			suspect(c, "tested")
		} else {
			for i := range 8 {
				use(c, "tested", string(rune('1'+i)), 1)
			}
		}
		c.Acquire(replayStart, "h", patient("a", 600))
		c.AddItem(replayStart, Item{Ref: ItemRef{Job: "j"}, Service: "s", Due: replayStart.Add(time.Minute), PromptTokens: 100, ExpectedTokens: 100})
		for _, e := range c.Effects() {
			t.Errorf("an endpoint under test %v: %T %v", underTest, e, e)
		}
	}
}

// TestAdoptedWorkIsNoTest guards against a new scheduler that tests no failing endpoint, as work
// from before the failures is still in progress there.
func TestAdoptedWorkIsNoTest(t *testing.T) {
	c := waitingCore(Endpoint{ID: "failing", Slots: 8}, Endpoint{ID: "sound", Slots: 8})
	hello := &Hello{Host: "i", Failing: []FailingEndpoint{{Endpoint: "failing", Failures: 1, Age: 100 * time.Millisecond}}}
	for _, id := range []string{"1", "2", "3", "4"} {
		hello.Running = append(hello.Running, Running{Ticket: id, Service: "s", Endpoint: "failing", Since: time.Second})
	}
	c.Join(replayStart, hello)
	if s := c.endpoints["failing"]; s.health.level != healthSuspected || s.health.trials != 0 {
		t.Errorf("the endpoint is %s, with %d tests", s.health.level, s.health.trials)
	}
	again := patient("a", 1)
	again.Repeatable = true
	c.Acquire(replayStart, "h", again)
	if got := grants(c); got["a"] != "failing" {
		t.Errorf("granted %v, want a test of the endpoint", got)
	}
}
