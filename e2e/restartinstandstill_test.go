package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// TestRoutesEndpointRestartsWhileHostsStandStill stops all hosts, of a service with a single version, and
// restarts an engine under its id, at its address, with another version. Streams that lie in the sockets of
// the hosts begin as these go on, before they have read the new record, and break off there: none may go on at
// the version of before.
func TestRoutesEndpointRestartsWhileHostsStandStill(t *testing.T) {
	const hosts, streams, others = 2, 12, 3
	f := newRoutedFleet(t, hosts)
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
	for _, g := range f.gateways {
		g.freeze()
	}
	bodies := make([]string, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			bodies[i] = string(f.gateways[i%hosts].send("POST", "/stream/x", fmt.Sprint("s", i), fmt.Append(nil, "prompt", i)).body)
		})
	}
	old.Close()
	restarted := f.startVersioned(old.Address(), "same", "same-v2", 2)
	restarted.SetFaults(standin.ReplicaFaults{CutAfter: 5})
	time.Sleep(700 * time.Millisecond)
	for _, g := range f.gateways {
		g.thaw()
	}
	time.Sleep(200 * time.Millisecond)
	f.listVersion(restarted, "v2")
	group.Wait()
	began, atRestarted := 0, 0
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
			if events[0].replica == "same-v2" {
				atRestarted++
			}
		}
	}
	if began < streams/2 {
		t.Error("too few streams began: the run did not reach what it tests")
	}
	t.Logf("%d of %d streams began, %d at the engine that was restarted", began, streams, atRestarted)
}
