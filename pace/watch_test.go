package pace

import (
	"context"
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

// TestOverdueCallGoesOn takes a call that is overdue back with its next event, and ends one
// that is overdue again.
func TestOverdueCallGoesOn(t *testing.T) {
	overdue := make(chan context.Context, 2)
	w := StartLenient(Limits{First: 20 * time.Millisecond, Next: 20 * time.Millisecond}, func() {},
		func(ctx context.Context, _ *Watch) { overdue <- ctx })
	defer w.Stop()
	if w.GiveUp() {
		t.Error("a call timed out that was not overdue")
	}
	first := <-overdue
	w.RecordEvent()
	if await(t, "end of the first silence", first.Done()); w.TimedOut() {
		t.Error("a call that went on timed out")
	}
	second := <-overdue
	if !w.GiveUp() || !w.TimedOut() {
		t.Error("a call that is overdue did not time out")
	}
	w.Stop()
	if await(t, "end of the watch", second.Done()); w.GiveUp() {
		t.Error("a stopped call timed out")
	}
}

// TestNoTimeoutBehindTheFirstEvent has no timeout for further events.
func TestNoTimeoutBehindTheFirstEvent(t *testing.T) {
	w := Start(Limits{First: 20 * time.Millisecond}, func() {}, func() { t.Error("the call timed out") })
	defer w.Stop()
	w.RecordEvent()
	time.Sleep(60 * time.Millisecond)
}
