package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestRoutesStreamsBegunWhileTheSchedulerStoodStill stops each host in turn, the one that schedules among
// them, twice, for longer than the others wait for it, and begins streams at the others meanwhile. They are taken
// up at the stopped host as it goes on: only at the version that began them.
func TestRoutesStreamsBegunWhileTheSchedulerStoodStill(t *testing.T) {
	const hosts, rounds, streams = 4, 8, 18
	// The others give a host up after a part of this time, and keep asking for it all the while.
	const stopFor = 1500 * time.Millisecond
	f := newVersionedFleet(t, hosts)
	begin := func(round, i int) string { return fmt.Sprintf("begin-%d-%d", round, i) }
	resume := func(round, i, try int) string { return fmt.Sprintf("resume-%d-%d-%d", round, i, try) }
	for round := range rounds {
		stopped := round % hosts
		f.gateways[stopped].freeze()
		goesOn := time.Now().Add(stopFor)
		events := make([]int, streams)
		var group sync.WaitGroup
		for i := range events {
			at := f.gateways[(stopped+1+i%(hosts-1))%hosts]
			group.Go(func() { events[i], _ = at.openStream(begin(round, i), "", 0, 3, func() {}) })
		}
		group.Wait()
		time.Sleep(time.Until(goesOn))
		f.gateways[stopped].thaw()
		for i, n := range events {
			group.Go(func() {
				for try, after := 0, n; n > 0 && try < 2; try++ {
					got, _ := f.gateways[stopped].openStream(resume(round, i, try), begin(round, i), after, 1, func() {})
					after += got
				}
			})
		}
		group.Wait()
		// The hosts agree on a scheduler again.
		time.Sleep(time.Second)
	}
	ran, began, resumed, mixed := f.versionsOfRuns(), 0, 0, 0
	for round := range rounds {
		for i := range streams {
			first := ran[begin(round, i)]
			if len(first) != 1 {
				// It did not begin, or which of two attempts brought the first event is not told by runs.
				continue
			}
			began++
			for try := range 2 {
				for version := range ran[resume(round, i, try)] {
					resumed++
					if !first[version] {
						mixed++
						t.Logf("round %d, host %d stood still: stream %d was begun by %v and goes on at %s", round, round%hosts, i, first, version)
					}
				}
			}
		}
	}
	if began < rounds*streams/2 || resumed < began {
		t.Fatalf("%d streams began, %d of twice as many went on, want half", began, resumed)
	}
	if mixed > 0 {
		t.Errorf("%d of %d streams that were taken up went on at another version", mixed, resumed)
	}
	t.Logf("%d streams began, %d went on", began, resumed)
}
