package endpoint

import (
	"testing"
	"time"
)

// incarnationRecord returns the record of an endpoint's nth incarnation.
func incarnationRecord(n int64, s State) Endpoint {
	e := ready("a")
	e.Started, e.State = time.UnixMilli(n), s
	return e
}

// TestOwnWordAndRecordAreMerged checks whether an endpoint counts as shutting down when its
// answers and its records disagree about it, for each order of their arrival.
func TestOwnWordAndRecordAreMerged(t *testing.T) {
	first, second := incarnationRecord(1, Ready), incarnationRecord(2, Ready)
	answer := func(e Endpoint) func(*Table) {
		return func(table *Table) { table.AnnounceLeaving(start, e.Incarnation(), ReasonAnswer) }
	}
	record := func(offset int64, e Endpoint) func(*Table) {
		return func(table *Table) { table.Put(offset, e) }
	}
	removed := func(offset int64) func(*Table) {
		return func(table *Table) { table.Remove(start, offset, "a") }
	}
	for _, c := range []struct {
		name  string
		steps []func(*Table)
		// usable is whether the endpoint accepts new work.
		usable bool
	}{
		{"ready by its record", []func(*Table){record(1, first)}, true},
		{"an answer announces its shutdown", []func(*Table){record(1, first), answer(first)}, false},
		{"its record still says ready", []func(*Table){record(1, first), answer(first), record(2, first)}, false},
		{"its record says draining, then ready", []func(*Table){record(1, first), answer(first), record(2, incarnationRecord(1, Draining)), record(3, first)}, false},
		{"its record lapses and is written again", []func(*Table){record(1, first), answer(first), removed(2), record(3, first)}, false},
		{"it restarts under the same id", []func(*Table){record(1, first), answer(first), record(2, second)}, true},
		{"the new incarnation shuts down too", []func(*Table){record(1, first), answer(first), record(2, second), answer(second)}, false},
		{"an answer of the previous incarnation arrives late", []func(*Table){record(1, first), record(2, second), answer(first)}, true},
		{"an answer of an incarnation without a record yet", []func(*Table){record(1, first), answer(second)}, true},
		{"the record of that incarnation follows", []func(*Table){record(1, first), answer(second), record(2, second)}, false},
		{"an answer before the endpoint's first record", []func(*Table){answer(first), record(1, first)}, false},
		{"its record lapses, an answer announces its shutdown, its record is written again", []func(*Table){record(1, first), removed(2), answer(first), record(3, first)}, false},
		{"an answer before the first record, which is of a new incarnation", []func(*Table){answer(first), record(1, second)}, true},
		{"it restarts, and its clock was set back", []func(*Table){record(1, second), answer(second), record(2, first)}, true},
		{"that incarnation shuts down too", []func(*Table){record(1, second), answer(second), record(2, first), answer(first)}, false},
		{"draining by its record only", []func(*Table){record(1, first), record(2, incarnationRecord(1, Draining))}, false},
		{"draining by its record, then ready", []func(*Table){record(1, incarnationRecord(1, Draining)), record(2, first)}, true},
		{"draining by record and answer, and an older record arrives late", []func(*Table){record(5, incarnationRecord(1, Draining)), answer(first), record(4, first)}, false},
	} {
		table := NewTable()
		for _, step := range c.steps {
			step(table)
		}
		if usable := len(NewView(table.Endpoints()).Ready("s")) > 0; usable != c.usable {
			t.Errorf("%s: accepts new work: %t", c.name, usable)
		}
	}
}

// TestLeavingIsReportedOnce checks that only the first announcement of a shutdown returns a
// change, and that Leaving returns listed incarnations only.
func TestLeavingIsReportedOnce(t *testing.T) {
	table := NewTable()
	e := incarnationRecord(1, Ready)
	table.Put(1, e)
	c := table.AnnounceLeaving(start, e.Incarnation(), ReasonRelayed)
	if len(c) != 1 || c[0].Before.State != Ready || c[0].After.State != Draining || c[0].Reason != ReasonRelayed {
		t.Errorf("changes %+v", c)
	}
	if c := table.AnnounceLeaving(start, e.Incarnation(), ReasonAnswer); c != nil {
		t.Errorf("a repeated announcement returned changes %+v", c)
	}
	if l := table.Leaving(); len(l) != 1 || l[0] != e.Incarnation() {
		t.Errorf("Leaving returned %+v", l)
	}
	table.Remove(start, 2, "a")
	if l := table.Leaving(); len(l) != 0 {
		t.Errorf("Leaving returned a removed endpoint: %+v", l)
	}
}

// TestLeavingIncarnationsExpire checks that the announcements of removed endpoints don't
// accumulate.
func TestLeavingIncarnationsExpire(t *testing.T) {
	table := NewTable()
	e := incarnationRecord(1, Ready)
	table.Put(1, e)
	table.AnnounceLeaving(start, e.Incarnation(), ReasonAnswer)
	table.Remove(start, 2, "a")
	table.Tick(start.Add(leavingRetention - time.Second))
	if len(table.leaving) != 1 {
		t.Error("the announcement expired while the record may still be written again")
	}
	table.Tick(start.Add(leavingRetention))
	if len(table.leaving) != 0 {
		t.Errorf("%d announcements after the retention period", len(table.leaving))
	}
}
