package pace

import (
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

func await(t *testing.T, what string, ch <-chan struct{}) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(testTimeout):
		t.Fatal(what + " was not reported within 20 s")
	}
}

func TestStallIsReportedRepeatedlyThenTimesOut(t *testing.T) {
	stalls, timeouts := make(chan struct{}, 64), make(chan struct{}, 1)
	w := Start(Limits{First: 3 * minStall, Next: time.Hour},
		func() { stalls <- struct{}{} }, func() { timeouts <- struct{}{} })
	defer w.Stop()
	await(t, "first stall", stalls)
	await(t, "second stall", stalls)
	await(t, "timeout", timeouts)
	if !w.TimedOut() {
		t.Error("Over is false after the timeout")
	}
}

func TestStoppedWatchReportsNothing(t *testing.T) {
	w := Start(Limits{First: time.Millisecond, Next: time.Millisecond}, func() { t.Error("a stopped watch reported a stall") }, func() {})
	w.Stop()
	w.stallExpired()
	w.RecordEvent()
	if w.stallTimer.Stop() {
		t.Error("an event restarted the timer of a stopped watch")
	}
}

// TestSlowMomentsAreNoStalls checks that the longest pauses of the users' engines are not
// reported as stalls: the tokens of an event on a slow engine in a slow moment, while the
// prompts of two other requests are processed.
func TestSlowMomentsAreNoStalls(t *testing.T) {
	const token, promptToken = 4100 * time.Microsecond, time.Millisecond / 66
	const slow, prompts, promptTokens = 1.3 * 2.5, 2, 1500
	for _, tokens := range []int{1, 6, 15} {
		pause := time.Duration(slow * float64(time.Duration(tokens)*token+prompts*promptTokens*promptToken))
		if got := StallAfter(tokens); got < pause {
			t.Errorf("events of %d tokens: reported as stalled after %s, but pauses last up to %s", tokens, got, pause)
		}
	}
	if got := StallAfter(15); got > 400*time.Millisecond {
		t.Errorf("a stall is reported after %s, want at most 400 ms", got)
	}
}
