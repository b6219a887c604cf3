package limit

import "time"

// share is a host's fraction of a bound. It decreases at once, and increases only
// after the higher value has held for increaseDelay.
type share struct {
	current float64
	// pending is the lowest value seen since pendingSince, that is since the value
	// exceeded current or current last increased.
	pending      float64
	pendingSince time.Time
	initialized  bool
}

// update applies value, the fraction that follows from the demand known now, and
// returns the fraction to enforce.
func (s *share) update(now time.Time, value float64) float64 {
	switch {
	case !s.initialized:
		s.initialized = true
		s.current = value
		s.pending = value
		s.pendingSince = now
	case value <= s.current:
		s.current = value
		s.pending = value
		s.pendingSince = now
	default:
		s.increase(now, value)
	}
	return s.current
}

func (s *share) increase(now time.Time, value float64) {
	if s.pending <= s.current || value < s.pending {
		if s.pending <= s.current {
			s.pendingSince = now
		}
		s.pending = value
	}
	if now.Sub(s.pendingSince) >= increaseDelay {
		s.current = s.pending
		s.pending = value
		s.pendingSince = now
	}
}
