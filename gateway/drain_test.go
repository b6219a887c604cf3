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
