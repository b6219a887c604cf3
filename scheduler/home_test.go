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
		c.Join(now, host, "a", "r", nil)
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
