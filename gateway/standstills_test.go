package gateway

import (
	"testing"
	"time"
)

// TestRecordsFromBeforeAStandstillAreNotCurrent replays a host that stands still between two ticks: what it
// read before is not current, whoever asks first, until a read that was sent after it has confirmed it.
func TestRecordsFromBeforeAStandstillAreNotCurrent(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, askedFirst := range []bool{false, true} {
		var s standstills
		now := start
		for range 10 {
			s.tick(now)
			now = now.Add(endpointTick)
		}
		if ended := s.ended(now); !ended.IsZero() {
			t.Errorf("a host that ran stood still until %s", ended)
		}
		read := now
		now = now.Add(time.Second)
		if !askedFirst {
			s.tick(now)
		}
		if ended := s.ended(now); !read.Before(ended) {
			t.Errorf("asked before the tick %t: a read from before the standstill is current", askedFirst)
		}
		read = now
		now = now.Add(endpointTick)
		s.tick(now)
		if ended := s.ended(now); read.Before(ended) {
			t.Errorf("asked before the tick %t: a read from after the standstill is not current", askedFirst)
		}
	}
}
