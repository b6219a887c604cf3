package core

import (
	"math/rand/v2"
	"testing"

	"github.com/peridotmount/peridotmount/ledger"
)

// TestSimulationCoversCheckedCases guards against simulations that check nothing:
// over 30 seeds, leaders change, jobs complete and are cancelled, the log is
// trimmed, and records are ignored because of their epoch and sequence number.
func TestSimulationCoversCheckedCases(t *testing.T) {
	var claims, completed, canceled, trims, ignoredEpoch, ignoredSeq, carried, once, interrupted int
	for seed := uint64(1); seed <= 30; seed++ {
		s := simulate(seed, drawPlan(rand.New(rand.NewPCG(seed, 2))))
		trims += s.trims
		once += len(s.onceRuns)
		state := ledger.NewState()
		for offset := range s.log.records {
			r := s.log.decode(int64(offset))
			switch verdict := state.Apply(int64(offset), r); {
			case verdict == ledger.Valid && r.Claim != nil:
				claims++
			case verdict == ledger.IgnoredEpoch:
				ignoredEpoch++
			case verdict == ledger.IgnoredSequence:
				ignoredSeq++
			}
			for i := range r.Entries {
				if d := r.Entries[i].ItemDone; d != nil && d.Failed && r.Entries[i].CarriedFrom == nil {
					interrupted++
				}
				if r.Entries[i].CarriedFrom != nil {
					carried++
				}
			}
		}
		for _, j := range state.Jobs("") {
			switch j.Status {
			case ledger.JobCompleted:
				completed++
			case ledger.JobCanceled:
				canceled++
			}
		}
	}
	t.Logf("claims %d, completed %d, cancelled %d, trims %d, ignored by epoch %d, by sequence %d, carried %d, once %d, interrupted %d",
		claims, completed, canceled, trims, ignoredEpoch, ignoredSeq, carried, once, interrupted)
	// The first claim of each of the 30 runs is no takeover.
	for name, n := range map[string]int{
		"takeovers": claims - 30, "completed jobs": completed, "cancelled jobs": canceled, "trims": trims,
		"records ignored by epoch": ignoredEpoch, "records ignored by sequence": ignoredSeq, "carried entries": carried,
		"items run once": once, "interrupted items": interrupted,
	} {
		if n <= 0 {
			t.Errorf("no %s in 30 runs", name)
		}
	}
}
