// Package clock reads the clock that also counts the time in which the machine
// was suspended, which Go's own monotonic readings leave out.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, as a time.Time without a
// monotonic reading, so that differences between two of them count suspensions.
// It says nothing about the time of day.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// No supported kernel lacks the clock; time.Now's wall clock is its
		// nearest kin, as it counts suspensions too.
		return time.Now().Round(0)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
