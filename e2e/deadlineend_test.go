package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// TestRoutesStreamStoppedAtTheTimeoutOfItsRoute has engines stop streams at the time that their requests state,
// in the middle, where the route's time-out is shorter than the callers wait: with the last chunk, or by the end
// of a connection that states neither a length nor chunks. None ends as complete.
func TestRoutesStreamStoppedAtTheTimeoutOfItsRoute(t *testing.T) {
	for name, faults := range map[string]standin.ReplicaFaults{"chunks": {}, "open": {Unframed: true}} {
		t.Run(name, func(t *testing.T) { stopStreamsAtTimeout(t, faults) })
	}
}

func stopStreamsAtTimeout(t *testing.T, faults standin.ReplicaFaults) {
	t.Helper()
	const rounds, streams = 8, 24
	f := newRoutedFleet(t, 2)
	for _, r := range f.engines {
		r.Pace, r.KeepDeadlines = 40*time.Millisecond, true
		r.SetFaults(faults)
	}
	f.configure(2, `,{"name":"brief","host":"ficu95.example","path_prefix":"/brief/","kind":"streaming","timeout_ms":300,
"target_latency_ms":1000,"service":"engines","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300}`)
	for i, g := range f.gateways {
		eventually(t, "route of "+g.name, func() bool { return g.statusAt("/brief/", fmt.Sprint("probe-", i)) != http.StatusNotFound })
	}
	begun, complete := 0, 0
	for round := range rounds {
		replies := make([]reply, streams)
		var group sync.WaitGroup
		for i := range replies {
			group.Go(func() {
				replies[i] = f.gateways[i%2].send(http.MethodPost, "/brief/x", fmt.Sprintf("s-%d-%d", round, i), []byte("prompt"))
			})
		}
		group.Wait()
		for _, a := range replies {
			if len(a.body) > 0 && a.status == http.StatusOK {
				begun++
				if a.err == nil {
					complete++
				}
			}
		}
	}
	if begun < rounds {
		t.Fatalf("%d streams began: the run did not reach what it tests", begun)
	}
	if complete > 0 {
		t.Errorf("%d of %d streams ended as complete before their last event", complete, begun)
	}
	t.Logf("%d streams were stopped", begun)
}
