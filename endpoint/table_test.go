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
		t.Errorf("a heartbeat changed %+v", c)
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
	// The listing began at offset 5: b came later.
	table.Absent(start, 5, func(string) bool { return false })
	if got := ids(table); got != "b" {
		t.Errorf("endpoints %q", got)
	}
}

// TestEntriesThatLapseWithTheStore removes records during an outage: they are
// believed until the endpoints had time to write again.
func TestEntriesThatLapseWithTheStore(t *testing.T) {
	table := NewTable()
	table.Put(1, ready("a"))
	table.Put(2, ready("b"))
	table.Lost(start)
	back := start.Add(5 * time.Second)
	table.Regained(back)
	table.Remove(back, 3, "a")
	table.Absent(back, 4, func(id string) bool { return id == "a" })
	if got := ids(table); got != "ab" {
		t.Errorf("right after the return: %q", got)
	}
	table.Put(5, ready("a"))
	if c := table.Tick(back.Add(LapseGrace - time.Millisecond)); c != nil {
		t.Errorf("too early: %+v", c)
	}
	if c := table.Tick(back.Add(LapseGrace)); len(c) != 1 || c[0].Before.ID != "b" || c[0].Reason != ReasonLapsed {
		t.Errorf("after the grace: %+v", c)
	}
}

// TestLeavingIsBelievedDuringAnOutage holds that an endpoint's own word counts at
// once.
func TestLeavingIsBelievedDuringAnOutage(t *testing.T) {
	table := NewTable()
	table.Put(1, ready("a"))
	table.Lost(start)
	table.Regained(start.Add(5 * time.Second))
	leaving := ready("a")
	leaving.State = Draining
	if c := table.Put(2, leaving); len(c) != 1 {
		t.Errorf("changes %+v", c)
	}
	if n := len(NewView(table.Endpoints()).Ready("s")); n != 0 {
		t.Errorf("%d endpoints are ready", n)
	}
}

// TestShortLossDelaysNothing holds that one failed call is no outage in which
// entries could lapse.
func TestShortLossDelaysNothing(t *testing.T) {
	table := NewTable()
	table.Put(1, ready("a"))
	table.Lost(start)
	table.Regained(start.Add(lapseOutage - time.Millisecond))
	if c := table.Remove(start.Add(lapseOutage), 2, "a"); len(c) != 1 {
		t.Errorf("changes %+v", c)
	}
}
