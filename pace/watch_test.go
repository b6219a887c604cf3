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
	w := Start(Limits{First: 3 * leastStall, Next: time.Hour},
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

// TestSlowMomentsAreNoStalls replays the longest pauses of the users' engines: an event's
// tokens on a slow engine in a slow moment, while the prompts of two others are read.
func TestSlowMomentsAreNoStalls(t *testing.T) {
	const token, promptToken = 4100 * time.Microsecond, time.Millisecond / 66
	const slow, prompts, promptTokens = 1.3 * 2.5, 2, 1500
	for _, tokens := range []int{1, 6, 15} {
		pause := time.Duration(slow * float64(time.Duration(tokens)*token+prompts*promptTokens*promptToken))
		if got := StallAfter(tokens); got < pause {
			t.Errorf("events of %d tokens: stalled after %s, and pauses last %s", tokens, got, pause)
		}
	}
	if got := StallAfter(15); got > 400*time.Millisecond {
		t.Errorf("a silent endpoint is reported after %s", got)
	}
}
