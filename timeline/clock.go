package timeline

import (
	"sync"
	"time"
)

// MaxAhead bounds how far ahead of the wall clock a stamp of another process
// may lie. One beyond it is not taken up: a single host with a wild clock would
// else carry the clocks of all away for good.
const MaxAhead = time.Hour

// Clock is a hybrid logical clock. Its stamps never go back, and a stamp taken
// after Observe(s) is ordered after s, unless s lies more than MaxAhead in the
// future. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Stamp
}

// NewClock returns a Clock over the wall clock now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Stamp returns the next stamp.
func (c *Clock) Stamp() Stamp {
	return c.Observe(Stamp{})
}

// Observe applies a stamp received from another process and returns the next
// stamp.
func (c *Clock) Observe(seen Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMicro()
	if c.last.Before(seen) && seen.WallMicros-wall <= MaxAhead.Microseconds() {
		c.last = seen
	}
	if wall > c.last.WallMicros {
		c.last = Stamp{WallMicros: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}
