package scheduler

import "testing"

// TestProgressOutlivesTheHost removes the host of an item of which the ledger has a
// checkpoint: the item waits with exactly the checkpointed tokens done.
func TestProgressOutlivesTheHost(t *testing.T) {
	c := NewCore(Options{})
	c.Join(replayStart, &Hello{Host: "h", Zone: "z", Region: "r"})
	c.SetEndpoints(replayStart, []Endpoint{{ID: "e", Service: "s", Slots: 1}})
	ref := ItemRef{Job: "j"}
	c.AddItem(replayStart, Item{Ref: ref, Service: "s", Due: replayStart.Add(lateSlack), ExpectedTokens: 100})
	if c.items[ref].state != itemRunning {
		t.Fatal("the item was not started")
	}
	c.Progress(ref, 40, "v1")
	if c.items[ref].TokensDone != 0 {
		t.Error("checkpointed tokens were added to Done during the run, which counts them twice")
	}
	c.Progress(ref, 30, "v1")
	c.Leave(replayStart, "h")
	if i := c.items[ref]; i.state != itemWaiting || i.TokensDone != 40 {
		t.Errorf("after the host left: state %d with %d tokens done, want waiting with 40", i.state, i.TokensDone)
	}
	c.Progress(ref, 1000, "v1")
	if i := c.items[ref]; i.TokensDone != 100 {
		t.Errorf("%d tokens done, want the 100 that are expected", i.TokensDone)
	}
	c.Progress(ItemRef{Job: "unknown"}, 1, "v1")
}
