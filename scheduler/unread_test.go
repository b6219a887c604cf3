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
	// The endpoint in another region costs more.
	c.SetEndpoints(now, []Endpoint{{ID: "new", Service: "s", Zone: "z", Region: "r", Slots: 8}, {ID: "old", Service: "s", Slots: 1}})
	acquire := func(host, ticket string) {
		c.Acquire(now, host, SlotRequest{Ticket: ticket, Service: "s", Objective: time.Second, Left: 5 * time.Second})
	}
	acquire("behind", "b0")
	if got := grants(c); got["b0"] != "new" {
		t.Fatalf("granted %v", got)
	}
	c.Done(now, Usage{Ticket: "b0", Outcome: Unread})
	acquire("behind", "full")
	if got := grants(c); got["full"] != "old" {
		t.Fatalf("granted %v, want the endpoint that the host has read", got)
	}
	acquire("behind", "b1")
	acquire("current", "c0")
	if got := grants(c); got["c0"] != "new" || got["b1"] != "" {
		t.Errorf("granted %v, want c0 at the new endpoint, and b1 to wait", got)
	}
	now = now.Add(unreadPause)
	c.Tick(now)
	if got := grants(c); got["b1"] != "new" {
		t.Errorf("granted %v after the host had time to read, want b1", got)
	}
}

// behindCore returns a Core whose host "behind" has not read the new endpoints, of so many slots
// each, and reported so; the host "current" has read all.
func behindCore(now time.Time, endpoints, slots int) *Core {
	c := NewCore(Options{})
	for _, h := range []string{"behind", "current"} {
		c.Join(now, &Hello{Host: h, Zone: "z", Region: "r"})
	}
	var listed []Endpoint
	for i := range endpoints {
		listed = append(listed, Endpoint{ID: fmt.Sprint("new-", i), Service: "s", Zone: "z", Region: "r", Slots: slots})
		c.members["behind"].setUnread(now, listed[i].ID)
	}
	c.SetEndpoints(now, listed)
	return c
}

// startsByHost returns how many items started at each host.
func startsByHost(c *Core) map[string]int {
	out := make(map[string]int)
	for _, e := range c.Effects() {
		if s, ok := e.(Start); ok {
			out[s.Host]++
		}
	}
	return out
}

// TestItemsOfAHostThatIsBehindStartElsewhere starts items whose input a host has that is behind:
// the other host runs them. Those with output there wait for it, and hold up no others.
func TestItemsOfAHostThatIsBehindStartElsewhere(t *testing.T) {
	now := replayStart
	c := behindCore(now, 2, 4)
	c.SetShare(now, 1, 1, false)
	for i := range 6 {
		item := Item{Ref: ItemRef{Job: "j", Item: i}, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 1000, InputHost: "behind"}
		if i < 2 {
			item.TokensDone = 10
		}
		c.AddItem(now, item)
	}
	c.SetShare(now, 1, 1, true)
	if got := startsByHost(c); got["current"] != 4 || got["behind"] != 0 {
		t.Errorf("items started at %v, want the four without output at the host that is current", got)
	}
	now = now.Add(unreadPause)
	c.Tick(now)
	if got := startsByHost(c); got["behind"] != 2 {
		t.Errorf("items started at %v after the host had time to read, want two where their output is", got)
	}
}

// TestFewestItemsDoNotDrawMoreToAHostThatIsBehind starts items that any host could run.
func TestFewestItemsDoNotDrawMoreToAHostThatIsBehind(t *testing.T) {
	now := replayStart
	c := behindCore(now, 1, 8)
	for i := range 8 {
		c.AddItem(now, Item{Ref: ItemRef{Job: "j", Item: i}, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 1000})
	}
	if got := startsByHost(c); got["current"] != 8 {
		t.Errorf("items started at %v", got)
	}
}

// TestReportsOfOneMomentCountOnce returns eight slots that were granted before the first report.
func TestReportsOfOneMomentCountOnce(t *testing.T) {
	c, now := NewCore(Options{}), replayStart
	c.Join(now, &Hello{Host: "behind", Zone: "z", Region: "r"})
	c.SetEndpoints(now, []Endpoint{{ID: "new", Service: "s", Zone: "z", Region: "r", Slots: 8}})
	for i := range 8 {
		c.Acquire(now, "behind", SlotRequest{Ticket: fmt.Sprint(i), Service: "s", Objective: time.Second, Left: 5 * time.Second})
	}
	for i := range 8 {
		c.Done(now.Add(time.Duration(i)*time.Millisecond), Usage{Ticket: fmt.Sprint(i), Outcome: Unread})
	}
	if m := c.members["behind"]; m.mayUse(now.Add(unreadPause-time.Millisecond), "new") || !m.mayUse(now.Add(unreadPause), "new") {
		t.Errorf("excluded for %s, want %s", m.unread["new"].until.Sub(now), unreadPause)
	}
}

// TestRunThatDidNotStartIsNoFailure returns the slot of an item: it is not held back.
func TestRunThatDidNotStartIsNoFailure(t *testing.T) {
	c, now := NewCore(Options{}), replayStart
	c.Join(now, &Hello{Host: "h", Zone: "z", Region: "r"})
	c.SetEndpoints(now, []Endpoint{{ID: "new", Service: "s", Slots: 1}, {ID: "old", Service: "s", Slots: 1}})
	c.AddItem(now, Item{Ref: ItemRef{Job: "j"}, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 1000})
	first := c.Effects()[0].(Start)
	c.Done(now, Usage{Ticket: first.Ticket, Outcome: Unread})
	effects := c.Effects()
	if len(effects) != 1 || effects[0].(Start).Endpoint == first.Endpoint {
		t.Errorf("%v after a start at %s", effects, first.Endpoint)
	}
}

// TestHostThatReadNoneIsRefusedAtOnce requests a slot for a host that has read no endpoint of the
// service.
func TestHostThatReadNoneIsRefusedAtOnce(t *testing.T) {
	now := replayStart
	c := behindCore(now, 2, 4)
	c.Acquire(now, "behind", SlotRequest{Ticket: "t", Service: "s", Objective: time.Second, Left: 5 * time.Second})
	refusal, ok := c.Effects()[0].(Refuse)
	if !ok || refusal.Reason != ReasonUnread || refusal.RetryAfter != unreadPause {
		t.Errorf("%+v, want a refusal until the host may have read", refusal)
	}
}

// TestOrderIsKeptBehindAFullEndpoint fills the endpoint that a host can use, with one that it has not
// read full as well: its request is not overtaken, and no item is revoked for it in vain.
func TestOrderIsKeptBehindAFullEndpoint(t *testing.T) {
	c, now := NewCore(Options{}), replayStart
	for _, h := range []string{"behind", "current"} {
		c.Join(now, &Hello{Host: h, Zone: "z", Region: "r"})
	}
	c.SetEndpoints(now, []Endpoint{
		{ID: "new", Service: "s", Slots: 1, CacheTokens: 1000}, {ID: "old", Service: "s", Slots: 2, CacheTokens: 1000},
	})
	acquire := func(host, ticket string, priority, tokens int) {
		c.Acquire(now, host, SlotRequest{
			Ticket: ticket, Service: "s", Priority: priority, Objective: time.Minute, Left: time.Minute, PromptTokens: tokens,
		})
	}
	c.members["current"].setUnread(now, "old")
	acquire("current", "at new", 0, 100)
	delete(c.members["current"].unread, "old")
	c.members["behind"].setUnread(now, "new")
	acquire("behind", "at old", 0, 600)
	grants(c)
	// It fits neither endpoint until the first request there ends.
	acquire("behind", "large", 0, 600)
	acquire("current", "later", 1, 100)
	if got := grants(c); len(got) != 0 {
		t.Errorf("%v overtook the request before them", got)
	}
	c.Done(now, Usage{Ticket: "at old", Outcome: Finished})
	if got := grants(c); got["large"] != "old" || got["later"] != "old" {
		t.Errorf("granted %v", got)
	}
}

// TestItemsAreRevokedWhereTheHostCanGo requests a slot for a host that has read one of two endpoints,
// both full of items: an item there gives way.
func TestItemsAreRevokedWhereTheHostCanGo(t *testing.T) {
	c, now := NewCore(Options{}), replayStart
	c.Join(now, &Hello{Host: "h", Zone: "z", Region: "r"})
	c.SetEndpoints(now, []Endpoint{{ID: "new", Service: "s", Slots: 1}, {ID: "old", Service: "s", Slots: 1}})
	due := map[string]time.Duration{"new": time.Hour, "old": time.Minute}
	for i := range 2 {
		c.AddItem(now, Item{Ref: ItemRef{Job: "j", Item: i}, Service: "s", Due: now.Add(time.Hour), ExpectedTokens: 1000})
	}
	for _, tk := range c.tickets {
		tk.item.Due = now.Add(due[tk.endpoint.ID])
	}
	c.Effects()
	c.members["h"].setUnread(now, "new")
	c.Acquire(now, "h", SlotRequest{Ticket: "t", Service: "s", Objective: time.Second, Left: time.Minute})
	revoked := ""
	for _, e := range c.Effects() {
		if r, ok := e.(Revoke); ok {
			revoked += c.tickets[r.Ticket].endpoint.ID
		}
	}
	if revoked != "old" {
		t.Errorf("revoked at %q, want the endpoint that the host has read", revoked)
	}
}

// TestHostThatStaysBehindIsAskedLessOften reports the same endpoint as not read again and again.
func TestHostThatStaysBehindIsAskedLessOften(t *testing.T) {
	m, now := &member{}, replayStart
	var pauses []time.Duration
	for range 6 {
		m.setUnread(now, "e")
		at := now
		for now = now.Add(time.Millisecond); !m.mayUse(now, "e"); now = now.Add(time.Millisecond) {
			continue
		}
		pauses = append(pauses, now.Sub(at))
	}
	for i, want := 0, unreadPause; i < len(pauses); i, want = i+1, min(2*want, maxPause) {
		if pauses[i] != want {
			t.Fatalf("pauses %v, want %s doubled up to %s", pauses, unreadPause, maxPause)
		}
	}
	m.setUnread(now.Add(3*maxPause), "other")
	if len(m.unread) != 1 {
		t.Errorf("%d endpoints are remembered, want those of late", len(m.unread))
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

// TestStartingHostTakesNoItems has a host join that has not read the ledger yet, while the other
// hosts run items. It has the fewest items, and the inputs of some by the name that it had
// before, but items that it gives back start at other hosts until it had time to read.
func TestStartingHostTakesNoItems(t *testing.T) {
	c, now := NewCore(Options{}), replayStart
	c.SetEndpoints(now, []Endpoint{{ID: "e", Service: "s", Slots: 8}})
	c.Join(now, &Hello{Host: "current"})
	c.Join(now, &Hello{Host: "starting"})
	for i := range 20 {
		c.AddItem(now, Item{
			Ref: ItemRef{Job: "j", Item: i}, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 1000, InputHost: "starting",
		})
	}
	runs := 0
	for range 50 {
		returned := 0
		for _, e := range c.Effects() {
			if s, ok := e.(Start); ok && s.Host == "starting" {
				c.Done(now, Usage{Ticket: s.Ticket, Outcome: LedgerUnread})
				returned++
			}
		}
		if returned == 0 {
			break
		}
		runs += returned
	}
	if runs > 8 {
		t.Errorf("%d items started at a host that gave each back", runs)
	}
	if n := c.members["current"].runningItems; n != 8 {
		t.Errorf("%d items run at the other host, want all 8 slots in use", n)
	}
	c.SetEndpoints(now, []Endpoint{{ID: "e", Service: "s", Slots: 9}})
	if got := startsByHost(c); got["starting"] != 0 {
		t.Errorf("started %v before the host had time to read", got)
	}
	now = now.Add(unreadPause)
	c.SetEndpoints(now, []Endpoint{{ID: "e", Service: "s", Slots: 10}})
	if got := startsByHost(c); got["starting"] != 1 {
		t.Errorf("started %v after the host had time to read", got)
	}
}
