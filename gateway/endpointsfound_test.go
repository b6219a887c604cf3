package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/platform"
)

// returningEndpoints replays a host's reads of the records of endpoints that crashed together
// and are back. The long poll returns with the first record that is not read; the next one
// begins a pause after it began.
type returningEndpoints struct {
	*endpoints
	start  time.Time
	writes []time.Duration
	read   int
	// latest is the longest time from a record's write to its read.
	latest time.Duration
}

func newReturningEndpoints(writes []time.Duration) *returningEndpoints {
	e := newEndpoints(log.NewNopLogger(), prometheus.NewRegistry(), newOrigins(clock.Now), func(*endpoint.View, []endpoint.Change) {})
	return &returningEndpoints{endpoints: e, start: time.Unix(1000, 0), writes: writes}
}

// poll plays the read that began at a time, and returns when the next one begins.
func (r *returningEndpoints) poll(began time.Duration) time.Duration {
	at := max(began, r.writes[r.read])
	var page []platform.KeyedRecord
	for ; r.read < len(r.writes) && r.writes[r.read] <= at; r.read++ {
		r.latest = max(r.latest, at-r.writes[r.read])
		page = append(page, platform.KeyedRecord{
			Key: fmt.Sprint("e-", r.read), Offset: int64(r.read),
			Value: endpointRecord(fmt.Sprintf(`"10.0.0.%d:80"`, r.read+1), "8"),
		})
	}
	r.Changed(r.start.Add(at), page)
	pause := endpointPause
	if r.Changing(r.start.Add(at)) {
		pause = endpointFoundPause
	}
	return max(at, began+pause)
}

// TestEndpointsThatReturnTogetherAreReadSoon replays the return of 56 engines within 0.6 s of
// each other. A request for a service without other engines has 300 ms until its first event,
// of which an engine takes up to 125 ms: it must not be refused while an engine is up, so that
// each record is read within the rest. Records that change nothing are read in batches as ever.
func TestEndpointsThatReturnTogetherAreReadSoon(t *testing.T) {
	const objective, firstEvent = 300 * time.Millisecond, 125 * time.Millisecond
	for phase := time.Duration(0); phase < endpointPause; phase += 5 * time.Millisecond {
		var writes []time.Duration
		for i := range 56 {
			writes = append(writes, phase+time.Duration(i)*10*time.Millisecond)
		}
		r := newReturningEndpoints(writes)
		for began := time.Duration(0); r.read < len(writes); {
			began = r.poll(began)
		}
		if r.latest > objective-firstEvent {
			t.Fatalf("phase %s: a record was read %s after it was written", phase, r.latest)
		}
		end := r.start.Add(writes[55])
		r.Changed(end.Add(endpointFoundPeriod/2), []platform.KeyedRecord{{
			Key: "e-0", Offset: 100, Value: endpointRecord(`"10.0.0.1:80"`, "8"),
		}})
		if r.Changing(end.Add(objective + endpointFoundPeriod)) {
			t.Fatal("a record that changes nothing is taken for a new endpoint")
		}
	}
}
