package e2e

import (
	"fmt"
	"testing"
	"time"
)

// TestRoutesEnginesThatStoodStill stops engines in the middle of streams and items until the hosts
// have given them up, and has them go on: what they still send is used nowhere, and what went on at
// another engine is whole.
func TestRoutesEnginesThatStoodStill(t *testing.T) {
	for _, stopFor := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(stopFor.String(), func(t *testing.T) {
			t.Parallel()
			f := newRunFleet(t, 50*time.Millisecond)
			l := newLotReader(f)
			stop := make(chan struct{})
			following := l.follow(stop)
			whole, again := 0, 0
			for round := range 3 {
				id := fmt.Sprint("j", round)
				l.submit(round, id, 10)
				streams := make([]*runStream, 12)
				for i := range streams {
					streams[i] = f.openRun(f.gateways[i%runHosts], fmt.Sprintf("s-%d-%d", round, i), "", 0)
				}
				for _, s := range streams {
					s.awaitEvents(3)
				}
				// One version has an engine left, the other two.
				for i := range 3 {
					f.engines[(round+i)%runEngines].Pause(stopFor)
				}
				// More streams come, as connections to the stopped engines become free and are used again.
				for i := range streams {
					streams = append(streams, f.openRun(f.gateways[i%runHosts], fmt.Sprintf("t-%d-%d", round, i), "", 0))
					time.Sleep(stopFor / 10)
				}
				for _, s := range streams {
					<-s.closed
					events, ended := s.soFar()
					f.checkStream(s, events, ended)
					if ended {
						whole++
					}
					if len(f.runsOf(s.id)) > 1 {
						again++
					}
				}
			}
			l.awaitAll()
			close(stop)
			following.Wait()
			if whole == 0 || again == 0 && stopFor > 2*time.Second {
				t.Errorf("the run did not reach what it tests")
			}
			t.Logf("%d streams were whole, %d ran more than once", whole, again)
		})
	}
}
