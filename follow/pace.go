package follow

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// hostsAtFullPace is the number of hosts up to which each reads as often as it wants:
// ten reads a second each are half of the 2,000 that the store of either site takes.
const hostsAtFullPace = 100

// paced returns the least time between two reads of one of so many hosts. The load it
// answers: three hundred hosts, whose reads the store throttles together.
func paced(pause time.Duration, hosts int) time.Duration {
	return max(pause, pause*time.Duration(hosts)/hostsAtFullPace)
}

// listSpacing is the mean time between the first calls of two hosts for a topic that is
// listed after others: a ledger of about one MB, of which the store sends 80 a second.
const listSpacing = 15 * time.Millisecond

// spread returns how long one of so many hosts waits before it lists a large topic; draw
// is evenly distributed in [0, 1). The load it answers: three hundred hosts start within
// a second. Asked all at once, the store sends none of them a page in time, nor the
// small topics that callers need first.
func spread(hosts int, draw float64) time.Duration {
	return time.Duration(draw * float64(hosts) * float64(listSpacing))
}

const (
	// firstRetry and lastRetry bound the pause after a call that failed.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// lastThrottled is the longest pause after one that was throttled: three hundred
	// hosts that start together come with their four topics less than 2,000 times a
	// second.
	lastThrottled = time.Second
)

// retry is the pause after calls that failed, one after the other.
type retry struct{ next time.Duration }

func newRetry() retry { return retry{next: firstRetry} }

// after returns the pause after a failure; draw is evenly distributed in [0, 1).
func (r *retry) after(err error, draw float64) time.Duration {
	pause := r.next/2 + time.Duration(draw*float64(r.next))
	last := lastRetry
	if errors.Is(err, platform.ErrThrottled) {
		last = lastThrottled
	}
	r.next = min(2*r.next, last)
	return pause
}

// jitter returns a number that is evenly distributed in [0, 1).
func jitter() float64 { return rand.Float64() }
