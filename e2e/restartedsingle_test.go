package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// TestRoutesStreamsBegunAtTheFirstRestartOfARelease restarts an engine under its old id, at its old address and
// with the first software version that differs from that of all others, and has its record come late: no
// stream that begins there may go on at the old version.
func TestRoutesStreamsBegunAtTheFirstRestartOfARelease(t *testing.T) {
	f := newRoutedFleet(t, 2)
	for _, r := range f.engines {
		f.store.Put(platform.TopicEndpoints.Name, r.ID, nil)
	}
	old := f.startVersioned("127.0.0.1:0", "same", "same-v1", 1)
	versions := map[string]string{"same-v1": "v1", "same-v2": "v2", "other": "v1", "third": "v1"}
	other, third := f.startVersioned("127.0.0.1:0", "other", "other", 1), f.startVersioned("127.0.0.1:0", "third", "third", 1)
	f.listVersion(old, "v1")
	f.listVersion(other, "v1")
	f.listVersion(third, "v1")
	// For longer than a version that left is remembered: the engines of the fleet had another one.
	time.Sleep(22 * time.Second)
	old.Close()
	f.startVersioned(old.Address(), "same", "same-v2", 2).SetFaults(standin.ReplicaFaults{CutAfter: 5})
	time.Sleep(200 * time.Millisecond)
	bodies := make([]string, 8)
	var group sync.WaitGroup
	for i := range bodies {
		group.Go(func() {
			bodies[i] = string(f.gateways[i%2].send("POST", "/stream/x", fmt.Sprint("s", i), fmt.Append(nil, "prompt", i)).body)
		})
	}
	group.Wait()
	whole := 0
	for i, body := range bodies {
		events := wholeEvents(t, fmt.Sprint("s", i), body)
		for j, e := range events {
			if versions[e.replica] != versions[events[0].replica] {
				t.Errorf("stream %d, event %d of %s, which began at %s", i, j+1, e.replica, events[0].replica)
				break
			}
		}
		if len(events) == 20 {
			whole++
		}
	}
	if whole == 0 {
		t.Error("no stream is complete: the run did not reach what it tests")
	}
}
