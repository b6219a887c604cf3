package limit

import "time"

// share is an entry's part of a bound. It falls at once and rises only after
// the higher value has stood for settle.
type share struct {
	inUse float64
	// pending is the least value seen since rising.
	pending float64
	since   time.Time
	started bool
}

// use applies the value that the demand known now gives, and returns the one
// to use.
func (s *share) use(now time.Time, value float64) float64 {
	switch {
	case !s.started:
		s.started = true
		s.inUse = value
		s.pending = value
		s.since = now
	case value <= s.inUse:
		s.inUse = value
		s.pending = value
		s.since = now
	default:
		s.rise(now, value)
	}
	return s.inUse
}

func (s *share) rise(now time.Time, value float64) {
	if s.pending <= s.inUse || value < s.pending {
		if s.pending <= s.inUse {
			s.since = now
		}
		s.pending = value
	}
	if now.Sub(s.since) >= settle {
		s.inUse = s.pending
		s.pending = value
		s.since = now
	}
}
