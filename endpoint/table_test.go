package endpoint

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func ready(id string) Endpoint {
	return Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 8}
}

func ids(t *Table) string {
	out := ""
	for _, e := range t.Endpoints() {
		out += e.ID
	}
	return out
}

func TestRecordsComeAndGo(t *testing.T) {
	table := NewTable()
	table.Put(1, ready("a"))
	table.Put(2, ready("b"))
	leaving := ready("a")
	leaving.State = Draining
	if c := table.Put(3, leaving); len(c) != 1 || c[0].After.State != Draining {
		t.Errorf("changes %+v", c)
	}
	if c := table.Put(4, leaving); c != nil {
		t.Errorf("a heartbeat without a change returned changes %+v", c)
	}
	if c := table.Remove(start, 5, "b"); len(c) != 1 || c[0].After != nil {
		t.Errorf("changes %+v", c)
	}
	if got := ids(table); got != "a" {
		t.Errorf("endpoints %q", got)
	}
}

func TestOlderRecordsChangeNothing(t *testing.T) {
	table := NewTable()
	table.Put(5, ready("a"))
	leaving := ready("a")
	leaving.State = Draining
	if table.Put(4, leaving) != nil || table.Remove(start, 3, "a") != nil {
		t.Error("an older record was applied")
	}
}

func TestAbsentFromAListing(t *testing.T) {
	table := NewTable()
	table.Put(1, ready("a"))
	table.Put(9, ready("b"))
	// The listing began at offset 5, before the record of b.
	table.ApplyListing(start, 5, func(string) bool { return false })
	if got := ids(table); got != "b" {
		t.Errorf("endpoints %q", got)
	}
}

// TestEntriesThatLapseWithTheStore removes records after an outage: their endpoints are
// retained until they had time to write the records again.
func TestEntriesThatLapseWithTheStore(t *testing.T) {
	table := NewTable()
	table.Put(1, ready("a"))
	table.Put(2, ready("b"))
	table.StoreLost(start)
	back := start.Add(5 * time.Second)
	table.StoreRegained(back)
	table.Remove(back, 3, "a")
	table.ApplyListing(back, 4, func(id string) bool { return id == "a" })
	if got := ids(table); got != "ab" {
		t.Errorf("endpoints %q right after the outage, want both", got)
	}
	table.Put(5, ready("a"))
	if c := table.Tick(back.Add(LapseGrace - time.Millisecond)); c != nil {
		t.Errorf("removed before the grace period was over: %+v", c)
	}
	if c := table.Tick(back.Add(LapseGrace)); len(c) != 1 || c[0].Before.ID != "b" || c[0].Reason != ReasonLapsed {
		t.Errorf("changes %+v after the grace period, want the removal of b", c)
	}
}

// TestLeavingIsBelievedDuringAnOutage checks that an endpoint's own record that it is
// draining takes effect at once, also when other records may have lapsed.
func TestLeavingIsBelievedDuringAnOutage(t *testing.T) {
	table := NewTable()
	table.Put(1, ready("a"))
	table.StoreLost(start)
	table.StoreRegained(start.Add(5 * time.Second))
	leaving := ready("a")
	leaving.State = Draining
	if c := table.Put(2, leaving); len(c) != 1 {
		t.Errorf("changes %+v", c)
	}
	if n := len(NewView(table.Endpoints()).Ready("s")); n != 0 {
		t.Errorf("%d endpoints are ready", n)
	}
}

// TestShortLossDelaysNothing checks that a removal takes effect at once if the store was
// unreachable for less than minLapseOutage, as after one failed call.
func TestShortLossDelaysNothing(t *testing.T) {
	table := NewTable()
	table.Put(1, ready("a"))
	table.StoreLost(start)
	table.StoreRegained(start.Add(minLapseOutage - time.Millisecond))
	if c := table.Remove(start.Add(minLapseOutage), 2, "a"); len(c) != 1 {
		t.Errorf("changes %+v", c)
	}
}
