package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// TestRoutesFirstEndpointOfAVersionUnderAnotherID restarts an engine of a service with a single version under
// its id, at its address, with another version, and has its record come late. Streams that begin there break
// off: none may go on at the version of before.
func TestRoutesFirstEndpointOfAVersionUnderAnotherID(t *testing.T) {
	const streams, others = 12, 3
	f := newRoutedFleet(t, 2)
	for _, r := range f.engines {
		f.store.Put(platform.TopicEndpoints.Name, r.ID, nil)
	}
	old := f.startVersioned("127.0.0.1:0", "same", "same-v1", 1)
	f.listVersion(old, "v1")
	versions := map[string]string{"same-v1": "v1", "same-v2": "v2"}
	for i := range others {
		name := fmt.Sprint("other-", i)
		versions[name] = "v1"
		f.listVersion(f.startVersioned("127.0.0.1:0", name, name, 1), "v1")
	}
	time.Sleep(time.Second)
	old.Close()
	restarted := f.startVersioned(old.Address(), "same", "same-v2", 2)
	restarted.SetFaults(standin.ReplicaFaults{CutAfter: 5})
	bodies := make([]string, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			bodies[i] = string(f.gateways[i%2].send("POST", "/stream/x", fmt.Sprint("s", i), fmt.Append(nil, "prompt", i)).body)
		})
	}
	time.Sleep(200 * time.Millisecond)
	f.listVersion(restarted, "v2")
	group.Wait()
	began := 0
	for i, body := range bodies {
		events := wholeEvents(t, fmt.Sprint("s", i), body)
		for j, e := range events {
			if versions[e.replica] != versions[events[0].replica] {
				t.Errorf("stream %d, event %d of %s, which began at %s", i, j+1, e.replica, events[0].replica)
				break
			}
		}
		if len(events) > 0 {
			began++
		}
	}
	if began < streams/2 {
		t.Errorf("%d of %d streams began: the run did not reach what it tests", began, streams)
	}
}
