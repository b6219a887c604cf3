package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/blame"
)

// newConvictedCore returns a Core with one host and enough free slots.
func newConvictedCore() *Core {
	c := NewCore(Options{})
	c.Join(replayStart, &Hello{Host: "h", Zone: "z", Region: "r"})
	c.SetEndpoints(replayStart, []Endpoint{{ID: "e", Service: "s", Slots: 8, Zone: "z", Region: "r"}})
	return c
}

// acquireWith requests a slot for a prompt with a shared part, and returns the effects.
func acquireWith(c *Core, now time.Time, ticket, part string) []Effect {
	c.Acquire(now, "h", SlotRequest{
		Ticket: ticket, Service: "s", Objective: 300 * time.Millisecond, Left: 5 * time.Second,
		PromptTokens: 100, ExpectedTokens: 20, Prefix: []string{part, "own-" + ticket}, Fingerprint: ticket,
	})
	return c.Effects()
}

// TestSuspectsAreGrantedOneByOne replays a peak of requests of which half share a suspect
// part: the others must not wait for them, and batch items start beside those held back.
func TestSuspectsAreGrantedOneByOne(t *testing.T) {
	c := newConvictedCore()
	c.SetSuspects(replayStart, []blame.Key{blame.PartKey("x")})
	granted := map[string]int{}
	for i := range 3 {
		for _, part := range []string{"x", "sound"} {
			for _, e := range acquireWith(c, replayStart, fmt.Sprint(part, i), part) {
				if _, ok := e.(Grant); ok {
					granted[part]++
				}
			}
		}
	}
	if granted["x"] != 1 || granted["sound"] != 3 {
		t.Errorf("granted at once: %v", granted)
	}
	c.AddItem(replayStart, Item{Ref: ItemRef{Job: "j"}, Service: "s", Due: replayStart.Add(time.Minute), PromptTokens: 10, ExpectedTokens: 10, Prefix: []string{"x", "own"}})
	if e := c.Effects(); len(e) != 1 {
		t.Errorf("an item beside suspects: effects %v", e)
	}
	for at := time.Duration(0); at < 2*time.Second; at += 20 * time.Millisecond {
		c.Tick(replayStart.Add(at))
		for _, e := range c.Effects() {
			if _, ok := e.(Grant); ok {
				granted["x"]++
			}
		}
		if most := 1 + int(at/(250*time.Millisecond)); granted["x"] > most {
			t.Fatalf("%d suspects granted after %s", granted["x"], at)
		}
	}
	if granted["x"] != 3 {
		t.Errorf("%d suspects granted in the end", granted["x"])
	}
}

// TestWaitingRequestsAreRefusedWhenConvicted convicts a part while requests with it wait:
// they are refused at once, with the time until the conviction ends, and the others stay.
func TestWaitingRequestsAreRefusedWhenConvicted(t *testing.T) {
	c := newConvictedCore()
	c.SetSuspects(replayStart, []blame.Key{blame.PartKey("x"), blame.PartKey("y")})
	for _, part := range []string{"x", "y"} {
		for i := range 2 {
			acquireWith(c, replayStart, fmt.Sprint(part, i), part)
		}
	}
	verdict := &blame.Conviction{Keys: blame.NewCombination(blame.PartKey("x")), Left: time.Minute}
	c.RefuseWaiting(replayStart, func(keys []blame.Key) *blame.Conviction {
		if verdict.Keys.In(keys) {
			return verdict
		}
		return nil
	})
	effects := c.Effects()
	if len(effects) != 1 {
		t.Fatalf("effects %v", effects)
	}
	refuse, ok := effects[0].(Refuse)
	if !ok || refuse.Ticket != "x1" || refuse.Reason != ReasonConvicted || refuse.RetryAfter != time.Minute {
		t.Errorf("effect %+v", effects[0])
	}
	if len(c.waiting) != 1 || c.waiting["y1"] == nil {
		t.Errorf("%d requests still wait", len(c.waiting))
	}
}
