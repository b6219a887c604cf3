package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestRequestThatBreaksEndpointsIsKeptFromOthers(t *testing.T) {
	s := NewSuspects()
	now := replayStart
	for i := range crashesBorne {
		if s.Broke(now, "r", "same") != (crashesBorne == 1) {
			t.Error("one endpoint that breaks again and again counts once")
		}
		s.Broke(now, "other", fmt.Sprint(i%2))
	}
	for i := 1; i < crashesBorne; i++ {
		if got, want := s.Broke(now, "r", fmt.Sprint(i)), i == crashesBorne-1; got != want {
			t.Errorf("after %d endpoints: %v", i+1, got)
		}
	}
	if got := s.Quarantined(now); !slices.Equal(got, []string{"r"}) {
		t.Errorf("quarantined %v", got)
	}
	if got := s.Quarantined(now.Add(suspectMemory + time.Second)); got != nil {
		t.Errorf("quarantined for good: %v", got)
	}
}
