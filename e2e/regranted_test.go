package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// TestRoutesStreamThatWasRefusedGoesOnWhereItBegan has the engines of one version refuse streams,
// which begin at the other within milliseconds, and takes these up at each other host: they go on at
// the version that began them, and not at the one that was asked first.
func TestRoutesStreamThatWasRefusedGoesOnWhereItBegan(t *testing.T) {
	const hosts, rounds, streams = 4, 6, 12
	f := newVersionedFleet(t, hosts)
	refusing := func(faults standin.ReplicaFaults) {
		for i, r := range f.engines {
			if versionOf(i) == "v1" {
				r.SetFaults(faults)
			}
		}
	}
	begin := func(round, i int) string { return fmt.Sprintf("begin-%d-%d", round, i) }
	resume := func(round, i, host int) string { return fmt.Sprintf("resume-%d-%d-%d", round, i, host) }
	for round := range rounds {
		refusing(standin.ReplicaFaults{RefuseFirst: true})
		events := make([]int, streams)
		var group sync.WaitGroup
		for i := range events {
			group.Go(func() { events[i], _ = f.gateways[i%hosts].openStream(begin(round, i), "", 0, 3, func() {}) })
		}
		group.Wait()
		refusing(standin.ReplicaFaults{})
		// What began is replicated within some tens of milliseconds.
		time.Sleep(200 * time.Millisecond)
		for i, n := range events {
			for other := 1; other < hosts && n > 0; other++ {
				host := (i + other) % hosts
				group.Go(func() { f.gateways[host].openStream(resume(round, i, host), begin(round, i), n, 1, func() {}) })
			}
		}
		group.Wait()
	}
	ran, refused, resumed, mixed := f.versionsOfRuns(), 0, 0, 0
	for round := range rounds {
		for i := range streams {
			began := ran[begin(round, i)]
			if began["v2"] {
				refused++
			}
			for host := range hosts {
				for version := range ran[resume(round, i, host)] {
					resumed++
					if !began[version] {
						mixed++
						t.Logf("stream %d of round %d was begun by %v and went on at %s at host %d", i, round, began, version, host)
					}
				}
			}
		}
	}
	if refused == 0 || resumed == 0 {
		t.Fatalf("%d streams began at the version that refuses none, %d went on: the run did not reach what it tests", refused, resumed)
	}
	if mixed > 0 {
		t.Errorf("%d of %d streams that were taken up went on at another version", mixed, resumed)
	}
	t.Logf("%d streams began at the version that refuses none, %d went on", refused, resumed)
}
