package scheduler

import (
	"testing"
	"time"
)

// startHost returns the host at which an item was started.
func startHost(t *testing.T, c *Core, item int) string {
	t.Helper()
	for _, e := range c.Effects() {
		if s, ok := e.(Start); ok && s.Item.Item == item {
			return s.Host
		}
	}
	t.Fatalf("item %d was not started", item)
	return ""
}

// TestItemsRunWhereTheirInputIs checks that items are started at the host that has their
// input in memory. During an outage of the store that begins after a job was accepted, no
// other host can run it.
func TestItemsRunWhereTheirInputIs(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCore(Options{})
	for _, host := range []string{"host-0", "host-1", "host-2"} {
		c.Join(now, &Hello{Host: host, Zone: "a", Region: "r"})
	}
	c.SetShare(now, 1, 1, true)
	c.SetEndpoints(now, []Endpoint{{ID: "e", Service: "s", Zone: "a", Region: "r", Slots: 16}})
	item := func(n int) Item {
		return Item{Ref: ItemRef{Job: "j", Item: n}, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 10, InputHost: "host-1"}
	}
	for n := range 6 {
		c.AddItem(now, item(n))
		if at := startHost(t, c, n); at != "host-1" {
			t.Errorf("item %d was started at %s, want host-1, which has its input", n, at)
		}
	}
	c.SetLeaving("host-1")
	c.AddItem(now, item(6))
	if at := startHost(t, c, 6); at == "host-1" {
		t.Error("an item was started at a host that is shutting down")
	}
}

// TestNewSchedulerLearnsWhatIsKept replaces a scheduler that failed between two bursts of
// online requests. Preempted items have to resume at the host that has most of their
// output, as the hosts reported it on joining.
func TestNewSchedulerLearnsWhatIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCore(Options{})
	c.SetShare(now, 1, 1, true)
	ref := ItemRef{Job: "j", Item: 3}
	c.AddItem(now, Item{Ref: ref, Service: "s", Due: now.Add(time.Minute), ExpectedTokens: 100, InputHost: "host-0"})
	c.Join(now, &Hello{Host: "host-0", Zone: "a", Region: "r"})
	c.Join(now, &Hello{Host: "host-1", Zone: "a", Region: "r", Resumable: []Resumable{{Item: ref, TokensDone: 40}, {Item: ItemRef{Job: "ended"}, TokensDone: 7}}})
	c.Join(now, &Hello{Host: "host-2", Zone: "a", Region: "r", Resumable: []Resumable{{Item: ref, TokensDone: 20}}})
	c.SetEndpoints(now, []Endpoint{{ID: "e", Service: "s", Zone: "a", Region: "r", Slots: 1}})
	if at := startHost(t, c, 3); at != "host-1" || c.items[ref].TokensDone != 40 {
		t.Errorf("the item resumed at %s after token %d, want host-1 after token 40", at, c.items[ref].TokensDone)
	}
}
