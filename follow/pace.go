package follow

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// hostsAtFullRate is the number of hosts up to which each reads at its configured
// interval: at 10 reads a second each, 100 hosts use half of the 2,000 reads a second
// that the store of each site accepts.
const hostsAtFullRate = 100

// readInterval returns the minimum time between two reads of one host, given the number
// of hosts. The store throttles the reads of all hosts together, and 300 hosts would
// exceed its limit at their configured interval.
func readInterval(pause time.Duration, hosts int) time.Duration {
	return max(pause, pause*time.Duration(hosts)/hostsAtFullRate)
}

// meanListingSpacing is the mean time between the starts of two hosts' listings of a
// topic that is listed after others. The largest is a ledger of about 1 MB, and the store
// sends 80 MB a second.
const meanListingSpacing = 15 * time.Millisecond

// listingDelay returns how long a host waits before it lists a large topic, given the
// number of hosts; random is uniform in [0, 1). If 300 hosts start within a second and
// list at once, the store sends none of them a page before the timeout, nor the small
// topics that callers need first.
func listingDelay(hosts int, random float64) time.Duration {
	return time.Duration(random * float64(hosts) * float64(meanListingSpacing))
}

const (
	// initialBackoff and maxBackoff bound the base of the pause after a failed call.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// maxThrottledBackoff replaces maxBackoff after throttled calls: with it, 300
	// hosts that start together send less than 2,000 calls a second for the four
	// topics that each follows.
	maxThrottledBackoff = time.Second
)

// backoff computes the pause after consecutive failed calls.
type backoff struct{ next time.Duration }

func newBackoff() backoff { return backoff{next: initialBackoff} }

// nextDelay returns the pause after a failure; random is uniform in [0, 1).
func (b *backoff) nextDelay(err error, random float64) time.Duration {
	pause := b.next/2 + time.Duration(random*float64(b.next))
	limit := maxBackoff
	if errors.Is(err, platform.ErrThrottled) {
		limit = maxThrottledBackoff
	}
	b.next = min(2*b.next, limit)
	return pause
}

// jitter returns a random number, uniform in [0, 1).
func jitter() float64 { return rand.Float64() }
