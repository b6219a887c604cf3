package follow

import (
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
)

// TestManyHostsReadLessOften checks that all hosts together stay below the 2,000 reads a
// second that a store accepts, at the intervals of the four topics that each follows, also
// while endpoints come back and their records are read every 100 ms.
func TestManyHostsReadLessOften(t *testing.T) {
	for _, endpoints := range []time.Duration{300 * time.Millisecond, 100 * time.Millisecond} {
		checkReads(t, []time.Duration{200 * time.Millisecond, endpoints, time.Second, time.Second})
	}
	if got := readInterval(time.Second, 81); got != time.Second {
		t.Errorf("81 hosts are slowed to %s", got)
	}
}

func checkReads(t *testing.T, pauses []time.Duration) {
	t.Helper()
	for _, hosts := range []int{1, 10, 81, 300, 410} {
		reads := 0.0
		for _, pause := range pauses {
			got := readInterval(pause, hosts)
			if got < pause {
				t.Errorf("%d hosts: read interval %s", hosts, got)
			}
			reads += float64(hosts) / got.Seconds()
		}
		if reads > 2000 {
			t.Errorf("%d hosts: %.0f reads a second", hosts, reads)
		}
	}
}

// TestThrottledCallsComeBackLater checks the backoff of 300 hosts that start together and
// are throttled: with four topics each, they send less than 2,000 calls a second.
func TestThrottledCallsComeBackLater(t *testing.T) {
	for _, c := range []struct {
		err        error
		fast, slow time.Duration
	}{{platform.ErrUnavailable, 0, maxBackoff}, {platform.ErrThrottled, 600 * time.Millisecond, maxThrottledBackoff}} {
		r := newBackoff()
		for range 8 {
			r.nextDelay(c.err, 0)
		}
		mean := r.nextDelay(c.err, 0.5)
		if mean < c.fast || mean > c.slow {
			t.Errorf("%v: mean retry delay %s", c.err, mean)
		}
		if calls := 300 * 4 / mean.Seconds(); c.err == platform.ErrThrottled && calls > 2000 {
			t.Errorf("%.0f calls a second", calls)
		}
	}
}

// TestListingsOfAllHostsFit starts 300 hosts at once, each of which lists a ledger of
// 1 MB: in no second is the store asked for more than it can send.
func TestListingsOfAllHostsFit(t *testing.T) {
	const hosts, ledgerMB, storeMB = 300, 1.0, 80.0
	const window = time.Second
	perWindow := make(map[time.Duration]float64)
	for i := range hosts {
		perWindow[listingDelay(hosts, (float64(i)+0.5)/hosts).Truncate(window)] += ledgerMB
	}
	for at, mb := range perWindow {
		if mb > storeMB {
			t.Errorf("%.0f MB requested in the second from %s", mb, at)
		}
	}
	if last := listingDelay(hosts, 1); last > 5*time.Second {
		t.Errorf("the last host lists after %s", last)
	}
	if last := listingDelay(10, 1); last > 200*time.Millisecond {
		t.Errorf("the last of ten hosts lists after %s", last)
	}
}
