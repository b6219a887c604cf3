package gateway

import (
	"sync"
	"time"
)

// maxTickGap is the time between two ticks, which are meant to be endpointTick apart, from which on the host
// stood still.
const maxTickGap = endpointTick + 300*time.Millisecond

// standstills tells when this host last stood still: stopped, starved of processor time, or waiting for
// memory. It is safe for concurrent use.
type standstills struct {
	mu sync.Mutex
	// tickedAt is the time of the last tick; zero before the first.
	tickedAt time.Time
	// endedAt is when the last standstill was noticed to have ended; zero if there was none.
	endedAt time.Time
}

// tick is called every endpointTick.
func (s *standstills) tick(now time.Time) { s.notice(now, true) }

// ended returns when the last standstill ended, zero if there was none. The time is now if the host has
// not ticked since.
func (s *standstills) ended(now time.Time) time.Time { return s.notice(now, false) }

func (s *standstills) notice(now time.Time, tick bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > maxTickGap {
		s.endedAt, s.tickedAt = now, now
	}
	if tick {
		s.tickedAt = now
	}
	return s.endedAt
}
