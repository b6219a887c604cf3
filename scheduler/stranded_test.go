package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// strandedCore returns a Core with two hosts and endpoints of so many slots each.
func strandedCore(now time.Time, endpoints, slots int) *Core {
	c := NewCore(Options{})
	for _, h := range []string{"stranded", "sound"} {
		c.Join(now, &Hello{Host: h, Zone: "z", Region: "r"})
	}
	var listed []Endpoint
	for i := range endpoints {
		listed = append(listed, Endpoint{ID: fmt.Sprint("e", i), Service: "s", Zone: "z", Region: "r", Slots: slots})
	}
	c.SetEndpoints(now, listed)
	return c
}

func acquireAt(c *Core, now time.Time, host, ticket string) {
	c.Acquire(now, host, SlotRequest{Ticket: ticket, Service: "s", Objective: time.Second, Left: 5 * time.Second})
}

// TestStrandedHostPausesNoEndpoint has a host report endpoints as unreachable, broken and stalled
// before and after it knows that it reaches none: others go on using them.
func TestStrandedHostPausesNoEndpoint(t *testing.T) {
	now := replayStart
	c := strandedCore(now, 2, 4)
	for i, outcome := range []Outcome{Unreachable, Failed, Unreachable} {
		acquireAt(c, now, "stranded", fmt.Sprint("before-", i))
		c.Done(now, Usage{Ticket: fmt.Sprint("before-", i), Outcome: outcome})
	}
	c.SetStranded(now, "stranded", true, 0)
	for i, outcome := range []Outcome{Unreachable, Failed} {
		acquireAt(c, now, "stranded", fmt.Sprint("after-", i))
		c.Stalled(now, fmt.Sprint("after-", i))
		c.Done(now, Usage{Ticket: fmt.Sprint("after-", i), Outcome: outcome})
	}
	granted(c)
	for i := range 8 {
		acquireAt(c, now, "sound", fmt.Sprint(i))
	}
	if got := grants(c); len(got) != 8 {
		t.Errorf("%d of 8 slots granted to the host that reaches the endpoints", len(got))
	}
	// What another host reports counts.
	c.Done(now, Usage{Ticket: "0", Outcome: Failed})
	paused := 0
	for _, s := range c.endpoints {
		if !s.usable(now) {
			paused++
		}
	}
	if paused != 1 {
		t.Errorf("%d endpoints are paused after a failure at another host, want 1", paused)
	}
}

// TestSlotsOfStrandedHostAreReleased leaves all slots with a host that loses its links and learns
// of no end: others get the slots after the time that requests take.
func TestSlotsOfStrandedHostAreReleased(t *testing.T) {
	now := replayStart
	c := strandedCore(now, 1, 2)
	acquireAt(c, now, "stranded", "a")
	acquireAt(c, now, "stranded", "b")
	c.SetStranded(now, "stranded", true, 0)
	now = now.Add(time.Duration(strandedHolds*float64(defaultHold)) - time.Millisecond)
	c.Tick(now)
	if c.tickets["a"] == nil || c.tickets["b"] == nil {
		t.Fatal("slots were released while the requests may run")
	}
	now = now.Add(2 * time.Millisecond)
	c.Tick(now)
	granted(c)
	for _, ticket := range []string{"c", "d"} {
		acquireAt(c, now, "sound", ticket)
	}
	if got := grants(c); len(got) != 2 {
		t.Errorf("granted %v, want both slots", got)
	}
	c.Done(now, Usage{Ticket: "a", Outcome: Failed})
	if len(c.tickets) != 2 {
		t.Errorf("%d slots in use, want those of the other host", len(c.tickets))
	}
	// What it is granted through another host's links is held until it ends.
	c.Done(now, Usage{Ticket: "c", Outcome: Finished})
	acquireAt(c, now, "stranded", "e")
	now = now.Add(time.Minute)
	c.Tick(now)
	if c.tickets["e"] == nil {
		t.Error("the slot of a request that began later was released")
	}
}

// TestItemsKeepOffStrandedHosts starts items that no host has input or output of.
func TestItemsKeepOffStrandedHosts(t *testing.T) {
	now := replayStart
	c := strandedCore(now, 2, 8)
	c.SetStranded(now, "stranded", true, 0)
	for i := range 6 {
		item := Item{Ref: ItemRef{Job: "j", Item: i}, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 100}
		if i == 0 {
			item.InputHost = "stranded"
		}
		c.AddItem(now, item)
	}
	hosts := make(map[string]int)
	for _, e := range c.Effects() {
		if s, ok := e.(Start); ok {
			hosts[s.Host]++
		}
	}
	if hosts["stranded"] != 1 || hosts["sound"] != 5 {
		t.Errorf("items started at %v, want the one whose input only the stranded host has there", hosts)
	}
	c.SetStranded(now, "stranded", false, 0)
	c.AddItem(now, Item{Ref: ItemRef{Job: "k"}, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 100})
	if s, ok := c.Effects()[0].(Start); !ok || s.Host != "stranded" {
		t.Errorf("%+v, want the host with the fewest items", s)
	}
}

// TestRequestsThroughOtherHostsKeepTheirSlots has a host that has been stranded for a while join a
// scheduler, and one whose links come back: only what it may have lost is released.
func TestRequestsThroughOtherHostsKeepTheirSlots(t *testing.T) {
	now := replayStart
	c := strandedCore(now, 1, 4)
	c.Join(now, &Hello{Host: "third", Zone: "z", Region: "r", Running: []Running{
		{Ticket: "before", Service: "s", Endpoint: "e0", Since: 3 * time.Second}, {Ticket: "through", Service: "s", Endpoint: "e0", Since: time.Second},
	}})
	c.SetStranded(now, "third", true, 2*time.Second)
	now = now.Add(time.Minute)
	c.Tick(now)
	if c.tickets["before"] != nil || c.tickets["through"] == nil {
		t.Errorf("slots in use: %v", c.tickets)
	}
	acquireAt(c, now, "stranded", "lives on")
	c.SetStranded(now, "stranded", true, 0)
	c.SetStranded(now.Add(100*time.Millisecond), "stranded", false, 0)
	c.Tick(now.Add(time.Minute))
	if c.tickets["lives on"] == nil {
		t.Error("the slot of a request was released whose host has its links again")
	}
}
