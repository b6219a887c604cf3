package scheduler

import (
	"testing"
	"time"
)

// startedAt returns where an item was started.
func startedAt(t *testing.T, c *Core, item int) string {
	t.Helper()
	for _, e := range c.Effects() {
		if s, ok := e.(Start); ok && s.Item.Item == item {
			return s.Host
		}
	}
	t.Fatalf("item %d was not started", item)
	return ""
}

// TestItemsRunWhereTheirInputIs replays an outage of the store that began after a job
// was accepted: only the host that took the job can run it.
func TestItemsRunWhereTheirInputIs(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCore(Options{})
	for _, host := range []string{"host-0", "host-1", "host-2"} {
		c.Join(now, &Hello{Host: host, Zone: "a", Region: "r"})
	}
	c.SetShare(now, 1, true)
	c.SetEndpoints(now, []Endpoint{{ID: "e", Service: "s", Zone: "a", Region: "r", Slots: 16}})
	item := func(n int) Item {
		return Item{Ref: ItemRef{Job: "j", Item: n}, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 10, Home: "host-1"}
	}
	for n := range 6 {
		c.AddItem(now, item(n))
		if at := startedAt(t, c, n); at != "host-1" {
			t.Errorf("item %d runs at %s", n, at)
		}
	}
	c.SetLeaving("host-1")
	c.AddItem(now, item(6))
	if at := startedAt(t, c, 6); at == "host-1" {
		t.Error("an item was started at a host that is leaving")
	}
}

// TestNewSchedulerLearnsWhatIsKept replays the death of a scheduler between two bursts
// of online work: the items that gave way go on at the hosts that keep what they made.
func TestNewSchedulerLearnsWhatIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCore(Options{})
	c.SetShare(now, 1, true)
	ref := ItemRef{Job: "j", Item: 3}
	c.AddItem(now, Item{Ref: ref, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 100, Home: "host-0"})
	c.Join(now, &Hello{Host: "host-0", Zone: "a", Region: "r"})
	c.Join(now, &Hello{Host: "host-1", Zone: "a", Region: "r", Kept: []Kept{{Item: ref, Made: 40}, {Item: ItemRef{Job: "ended"}, Made: 7}}})
	c.Join(now, &Hello{Host: "host-2", Zone: "a", Region: "r", Kept: []Kept{{Item: ref, Made: 20}}})
	c.SetEndpoints(now, []Endpoint{{ID: "e", Service: "s", Zone: "a", Region: "r", Slots: 1}})
	if at := startedAt(t, c, 3); at != "host-1" || c.items[ref].Done != 40 {
		t.Errorf("the item went on at %s behind token %d", at, c.items[ref].Done)
	}
}
