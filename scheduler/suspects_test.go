package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestRequestThatBreaksEndpointsIsKeptFromOthers checks that a request is quarantined once
// quarantineThreshold different endpoints have failed while running it, and not before.
func TestRequestThatBreaksEndpointsIsKeptFromOthers(t *testing.T) {
	s := NewSuspects()
	now := replayStart
	for i := range quarantineThreshold {
		if s.RecordFailure(now, "r", "same") != (quarantineThreshold == 1) {
			t.Error("repeated failures of one endpoint were counted more than once")
		}
		s.RecordFailure(now, "other", fmt.Sprint(i%2))
	}
	for i := 1; i < quarantineThreshold; i++ {
		if got, want := s.RecordFailure(now, "r", fmt.Sprint(i)), i == quarantineThreshold-1; got != want {
			t.Errorf("after failures of %d endpoints: newly quarantined is %v", i+1, got)
		}
	}
	if got := s.Quarantined(now); !slices.Equal(got, []string{"r"}) {
		t.Errorf("quarantined %v", got)
	}
	if got := s.Quarantined(now.Add(suspectRetention + time.Second)); got != nil {
		t.Errorf("still quarantined after the retention period: %v", got)
	}
}
