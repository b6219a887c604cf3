package gateway

import (
	"testing"
	"time"
)

// TestDrainWaitsUntilTheLastPartOfTheGracePeriod bounds when requests that an endpoint works on
// may be ended, and keeps time for what follows.
func TestDrainWaitsUntilTheLastPartOfTheGracePeriod(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		8 * time.Second:  8*time.Second*5/6 + lastPartMargin,
		30 * time.Second: 30*time.Second - handOverTime,
		4 * time.Second:  3 * time.Second,
	} {
		if got := requestTime(grace); (got - want).Abs() > time.Millisecond {
			t.Errorf("grace %s: %s, want %s", grace, got, want)
		}
	}
}

// TestShutdownScheduleFitsTheGracePeriod takes no request beyond the time at which requests are ended.
func TestShutdownScheduleFitsTheGracePeriod(t *testing.T) {
	begun := time.Unix(1000, 0)
	for grace, closes := range map[time.Duration]time.Duration{time.Second: 0, 3 * time.Second: 2 * time.Second, 8 * time.Second: drainNotice} {
		s := shutdownSchedule(begun, grace)
		if s.Closes.Sub(begun) != closes || s.Ends.Sub(begun) != requestTime(grace) || s.Ends.Before(s.Closes) {
			t.Errorf("grace %s: closes after %s, ends after %s", grace, s.Closes.Sub(begun), s.Ends.Sub(begun))
		}
	}
}
