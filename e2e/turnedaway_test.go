package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// TestRoutesTurnedAwayStreamsGoOnAtTheVersionThatBeganThem has the engines of one version turn each
// request away once, at once, so that streams are granted twice within milliseconds. Their callers
// leave and take them up at the other hosts: they go on only at the version that sent their events.
func TestRoutesTurnedAwayStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	const hosts, rounds, streams = 4, 12, 8
	f := newVersionedFleet(t, hosts)
	for i, r := range f.engines {
		r.Pace = 10 * time.Millisecond
		if versionOf(i) == "v1" {
			r.SetFaults(standin.ReplicaFaults{RefuseFirst: true})
		}
	}
	begun := make([]int, rounds*streams)
	for round := range rounds {
		var group sync.WaitGroup
		for i := range streams {
			n := round*streams + i
			group.Go(func() { begun[n], _ = f.gateways[n%hosts].openStream(fmt.Sprint("begin-", n), "", 0, 3, func() {}) })
		}
		group.Wait()
		// What began is replicated within some tens of milliseconds.
		time.Sleep(100 * time.Millisecond)
		for i := range streams {
			n := round*streams + i
			group.Go(func() {
				for try := range hosts - 1 {
					f.gateways[(n+1+try)%hosts].openStream(fmt.Sprint("resume-", n, "-", try), fmt.Sprint("begin-", n), begun[n], 1, func() {})
				}
			})
		}
		group.Wait()
	}
	ran := f.versionsOfRuns()
	wentOn, moved := 0, 0
	for n, events := range begun {
		began := ran[fmt.Sprint("begin-", n)]
		if events == 0 || len(began) != 1 {
			continue
		}
		for try := range hosts - 1 {
			for version := range ran[fmt.Sprint("resume-", n, "-", try)] {
				wentOn++
				if !began[version] {
					moved++
					t.Errorf("stream %d was begun by %v and went on at %s, at host %d", n, began, version, (n+1+try)%hosts)
				}
			}
		}
	}
	if wentOn < rounds*streams {
		t.Fatalf("%d streams went on: the run did not reach what it tests", wentOn)
	}
	t.Logf("%d streams went on, %d of them at another version", wentOn, moved)
}
