package core

import (
	"testing"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
)

// largeJobState returns a state with one job of 310,000 items.
func largeJobState(b *testing.B) *ledger.State {
	b.Helper()
	const items, perChunk = 310_000, 2000
	s := ledger.NewState()
	s.Apply(0, &ledger.Record{Claim: &lease.Claim{Holder: "a", Previous: lease.NoEpoch}})
	seq := int64(0)
	add := func(e ledger.Entry) {
		seq++
		if v := s.Apply(seq, &ledger.Record{Epoch: 0, Seq: seq, Entries: []ledger.Entry{e}}); v != ledger.Valid {
			b.Fatalf("verdict %d", v)
		}
	}
	for first := 0; first < items; first += perChunk {
		add(ledger.Entry{JobItems: &ledger.JobItems{Job: "j", Attempt: "1", First: first, Items: make([]ledger.Item, perChunk)}})
	}
	add(ledger.Entry{JobCommit: &ledger.JobCommit{Job: "j", Attempt: "1", Customer: "c", Count: items}})
	return s
}

// BenchmarkSchedule starts and ends the items of a 310,000-item job one by one.
func BenchmarkSchedule(b *testing.B) {
	state := largeJobState(b)
	weight := func(string) int { return 1 }
	s := newScheduler(32)
	for b.Loop() {
		task, found := s.next(simStart, state, weight)
		if !found {
			s.clear()
			continue
		}
		s.applyOutcome(simStart, &Outcome{Key: task.Key, Done: &ledger.ItemDone{}})
		delete(s.started, task.Key)
	}
}
