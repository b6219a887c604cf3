package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestEndpointThatAHostHasNotReadServesOthers lists a new endpoint that one of two hosts has not
// read yet: that host's work goes elsewhere or waits, and the other host uses the endpoint.
func TestEndpointThatAHostHasNotReadServesOthers(t *testing.T) {
	c, now := NewCore(Options{}), replayStart
	for _, h := range []string{"behind", "current"} {
		c.Join(now, &Hello{Host: h, Zone: "z", Region: "r"})
	}
	c.SetEndpoints(now, []Endpoint{{ID: "new", Service: "s", Zone: "z", Region: "r", Slots: 8}})
	acquire := func(host, ticket string) {
		c.Acquire(now, host, SlotRequest{Ticket: ticket, Service: "s", Objective: time.Second, Left: 5 * time.Second})
	}
	acquire("behind", "b0")
	if got := grants(c); got["b0"] != "new" {
		t.Fatalf("granted %v", got)
	}
	c.Done(now, Usage{Ticket: "b0", Outcome: Unlisted})
	acquire("behind", "b1")
	acquire("current", "c0")
	if got := grants(c); got["c0"] != "new" || got["b1"] != "" {
		t.Errorf("granted %v, want c0 at the new endpoint, and b1 to wait", got)
	}
	now = now.Add(unlistedPause)
	c.Tick(now)
	if got := grants(c); got["b1"] != "new" {
		t.Errorf("granted %v after the host had time to read, want b1", got)
	}
}

// TestItemsOfAHostThatIsBehindStartElsewhere starts items at endpoints that the host with their
// input has not read: they don't hold up others, and no endpoint is paused.
func TestItemsOfAHostThatIsBehindStartElsewhere(t *testing.T) {
	c, now := NewCore(Options{}), replayStart
	for _, h := range []string{"behind", "current"} {
		c.Join(now, &Hello{Host: h, Zone: "z", Region: "r"})
	}
	var endpoints []Endpoint
	for i := range 3 {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprint("new-", i), Service: "s", Zone: "z", Region: "r", Slots: 4})
	}
	c.SetEndpoints(now, endpoints)
	for i := range 12 {
		host := "behind"
		if i%2 == 0 {
			host = "current"
		}
		c.AddItem(now, Item{Ref: ItemRef{Job: "j", Item: i}, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 1000, InputHost: host})
	}
	running := make(map[string]int)
	for range 4 {
		for _, e := range c.Effects() {
			s, ok := e.(Start)
			if !ok {
				continue
			}
			if s.Host == "behind" {
				c.Done(now, Usage{Ticket: s.Ticket, Outcome: Unlisted})
				continue
			}
			running[s.Endpoint]++
		}
	}
	if running["new-0"]+running["new-1"]+running["new-2"] != 6 {
		t.Errorf("items run at %v, want the six of the host that is current", running)
	}
	now = now.Add(2 * unlistedPause)
	c.Tick(now)
	started := 0
	for _, e := range c.Effects() {
		if s, ok := e.(Start); ok && s.Host == "behind" {
			started++
		}
	}
	if started != 6 {
		t.Errorf("%d items started at the host that has read the endpoints meanwhile, want 6", started)
	}
}

// TestHostThatStaysBehindIsAskedLessOften reports the same endpoint as not read again and again.
func TestHostThatStaysBehindIsAskedLessOften(t *testing.T) {
	m, now := &member{}, replayStart
	var pauses []time.Duration
	for range 6 {
		m.setUnlisted(now, "e")
		at := now
		for now = now.Add(time.Millisecond); !m.lists(now, "e"); now = now.Add(time.Millisecond) {
			continue
		}
		pauses = append(pauses, now.Sub(at))
	}
	for i, want := 0, unlistedPause; i < len(pauses); i, want = i+1, min(2*want, maxPause) {
		if pauses[i] != want {
			t.Fatalf("pauses %v, want %s doubled up to %s", pauses, unlistedPause, maxPause)
		}
	}
	m.setUnlisted(now.Add(3*maxPause), "other")
	if len(m.unlisted) != 1 {
		t.Errorf("%d endpoints are remembered, want those of late", len(m.unlisted))
	}
}

// grants returns the endpoints that tickets were granted at.
func grants(c *Core) map[string]string {
	out := make(map[string]string)
	for _, e := range c.Effects() {
		if g, ok := e.(Grant); ok {
			out[g.Ticket] = g.Endpoint
		}
	}
	return out
}
