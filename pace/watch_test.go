package pace

import (
	"testing"
	"time"
)

const patience = 20 * time.Second

func await(t *testing.T, what string, ch <-chan struct{}) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(patience):
		t.Fatal(what + " did not come")
	}
}

func TestSilenceIsReportedAgainAndGivenUp(t *testing.T) {
	stalls, given := make(chan struct{}, 64), make(chan struct{}, 1)
	w := Start(Limits{First: 3 * StallAfter, Next: time.Hour},
		func() { stalls <- struct{}{} }, func() { given <- struct{}{} })
	defer w.Stop()
	await(t, "first stall", stalls)
	await(t, "second stall", stalls)
	await(t, "end", given)
	if !w.Over() {
		t.Error("not over")
	}
}

func TestStoppedWatchSaysNothing(t *testing.T) {
	w := Start(Limits{First: time.Millisecond, Next: time.Millisecond}, func() { t.Error("stalled") }, func() {})
	w.Stop()
	w.stallPassed()
	w.Heard()
	if w.stall.Stop() {
		t.Error("a stopped watch runs on")
	}
}
