package orders

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/platform"
)

var testLease = lease.Options{TTL: 3 * time.Second, Margin: 500 * time.Millisecond}

// TestOneHolderAtATime simulates hosts that share one stream and pause at any time,
// also between deciding and appending. No two hosts may hold the lease at the same
// time, and the fencing number must increase with each new holder.
func TestOneHolderAtATime(t *testing.T) {
	const seeds = 200
	total := 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 0))
		now := time.Unix(0, 0)
		var log []platform.Record
		hosts := make([]*leaseTracker, 3)
		pausedUntil := make([]time.Time, len(hosts))
		for i := range hosts {
			hosts[i] = newLeaseTracker(testLease, string(rune('a'+i)), 1, now)
		}
		takeovers, last := 0, lease.NoEpoch
		for range 2000 {
			now = now.Add(time.Duration(r.IntN(40)) * time.Millisecond)
			i := r.IntN(len(hosts))
			if now.Before(pausedUntil[i]) {
				continue
			}
			if r.IntN(60) == 0 {
				pausedUntil[i] = now.Add(time.Duration(r.IntN(8000)) * time.Millisecond)
			}
			stepTracker(hosts[i], i, now, &log, r)
			held := 0
			for _, h := range hosts {
				if h.holdsLease(now) {
					held++
				}
			}
			if held > 1 {
				t.Fatalf("seed %d: %d hosts hold the lease at %v", seed, held, now)
			}
			if h := hosts[i]; h.holdsLease(now) && h.state.Epoch != last {
				if h.state.Epoch < last {
					t.Fatalf("seed %d: fencing number decreased from %d to %d", seed, last, h.state.Epoch)
				}
				last = h.state.Epoch
				takeovers++
			}
		}
		total += takeovers
	}
	if total < 2*seeds {
		t.Errorf("%d takeovers in %d runs: too few for the test to be meaningful", total, seeds)
	}
	t.Logf("%d takeovers in %d runs", total, seeds)
}

// stepTracker reads the stream, decides and appends. The host never sees the result
// of the append, and some appends are lost.
func stepTracker(tracker *leaseTracker, rank int, now time.Time, log *[]platform.Record, r *rand.Rand) {
	for int(tracker.next) < len(*log) {
		tracker.apply(&(*log)[tracker.next], now)
	}
	record := tracker.decide(now, rank)
	if record == nil || r.IntN(6) == 0 {
		return
	}
	data, _ := json.Marshal(record)
	*log = append(*log, platform.Record{Offset: int64(len(*log)), Data: data})
}
