package clock

import (
	"context"
	"time"
)

// Every calls f each period, with the time, until ctx ends, and returns why it did.
// Calls that would fall into a call that lasts are left out.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			f(now)
		}
	}
}
