package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// startVersioned starts an engine at an address, under an id that another may have had, without a
// record. Events name it by name, and its report says when it was born.
func (f *routedFleet) startVersioned(address, id, name string, born int64) *standin.Replica {
	f.t.Helper()
	r, err := standin.StartReplicaAt(address, id, 20, func(r *standin.Replica) {
		r.Name, r.NameRuns, r.Pace, r.Born = name, true, 50*time.Millisecond, born
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	return r
}

// TestRoutesStreamMeetsARestartedEndpoint restarts an engine under its old id, at its old address
// and with another software version, and has its record come late: no stream may go on there with
// what the version before began, and none that began there with what others have.
func TestRoutesStreamMeetsARestartedEndpoint(t *testing.T) {
	f := newRoutedFleet(t, 2)
	for _, r := range f.engines {
		f.store.Put(platform.TopicEndpoints.Name, r.ID, nil)
	}
	old := f.startVersioned("127.0.0.1:0", "same", "same-v1", 1)
	versions := map[string]string{"same-v1": "v1", "same-v2": "v2", "other": "v1", "third": "v2"}
	other, third := f.startVersioned("127.0.0.1:0", "other", "other", 1), f.startVersioned("127.0.0.1:0", "third", "third", 1)
	f.listVersion(old, "v1")
	f.listVersion(other, "v1")
	f.listVersion(third, "v2")
	time.Sleep(time.Second)
	other.SetFaults(standin.ReplicaFaults{CutAfter: 12})
	bodies := make([]string, 24)
	var group sync.WaitGroup
	send := func(i int) {
		group.Go(func() {
			bodies[i] = string(f.gateways[i%2].send("POST", "/stream/x", fmt.Sprint("s", i), fmt.Append(nil, "prompt", i)).body)
		})
	}
	for i := range 12 {
		send(i)
	}
	time.Sleep(300 * time.Millisecond)
	old.Close()
	f.startVersioned(old.Address(), "same", "same-v2", 2).SetFaults(standin.ReplicaFaults{CutAfter: 5})
	time.Sleep(200 * time.Millisecond)
	for i := range 12 {
		send(12 + i)
	}
	group.Wait()
	goneOn := 0
	for i, body := range bodies {
		events := wholeEvents(t, fmt.Sprint("s", i), body)
		for j, e := range events {
			if versions[e.replica] != versions[events[0].replica] {
				t.Errorf("stream %d, event %d of %s, which began at %s", i, j+1, e.replica, events[0].replica)
				break
			}
		}
		if len(events) > 0 && events[0].replica != events[len(events)-1].replica {
			goneOn++
		}
	}
	if goneOn == 0 {
		t.Error("no stream went on elsewhere: the run did not reach what it tests")
	}
}
