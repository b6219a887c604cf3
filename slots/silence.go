package slots

import "time"

// maxTickGap is the most that one tick of the watch adds to a silence, so that the time for
// which this host itself stood still is not taken for the scheduler's.
const maxTickGap = 2 * schedulerHeartbeat

// silence measures for how long nothing has arrived, in time in which this host ran.
type silence struct {
	lastTick     time.Time
	lastReceived time.Time
	length       time.Duration
}

// tick adds the time since the last tick and returns the length of the silence. It is called
// every schedulerHeartbeat, unless the host stands still.
func (s *silence) tick(now, lastReceived time.Time) time.Duration {
	from := s.lastTick
	if !lastReceived.Equal(s.lastReceived) {
		from, s.length = lastReceived, 0
	}
	s.length += min(now.Sub(from), maxTickGap)
	s.lastTick, s.lastReceived = now, lastReceived
	return s.length
}
