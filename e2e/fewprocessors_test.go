package e2e

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRoutesOrderOnFewProcessors runs hosts whose processes use one, two or eight processors, and stops one
// after the other, for longer or shorter than the others wait, while streams break off and are taken up
// at any host and items run.
func TestRoutesOrderOnFewProcessors(t *testing.T) {
	for _, processors := range []string{"1", "2", "8"} {
		t.Run(processors, func(t *testing.T) {
			t.Setenv("GOMAXPROCS", processors)
			f := newRunFleet(t, 20*time.Millisecond, 60*time.Millisecond)
			l := newLotReader(f)
			stop := make(chan struct{})
			following := l.follow(stop)
			for i := range 8 {
				following.Go(func() { f.takeUpAgain(i, stop) })
			}
			for round, stopFor := range []time.Duration{300, 600, 1000, 1700} {
				l.submit(round, fmt.Sprint("j", round), 6)
				host := f.gateways[round%runHosts]
				host.freeze()
				time.Sleep(stopFor * time.Millisecond)
				host.thaw()
			}
			l.awaitAll()
			close(stop)
			following.Wait()
		})
	}
}

// takeUpAgain reads streams one after the other until stop is closed: it leaves each in its middle, and
// takes it up at any host until it is whole.
func (f *runFleet) takeUpAgain(caller int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(1, uint64(caller)))
	for n := 0; ; n++ {
		var events []runEvent
		first, ended := "", false
		for try := 0; !ended && try < 4; try++ {
			select {
			case <-stop:
				return
			default:
			}
			s := f.openRun(f.gateways[random.IntN(runHosts)], fmt.Sprintf("c%d-%d-%d", caller, n, try), first, len(events))
			leave := time.AfterFunc(time.Duration(100+random.IntN(1500))*time.Millisecond, s.leave)
			<-s.closed
			leave.Stop()
			got, whole := s.soFar()
			if first == "" && len(got) > 0 {
				first = s.id
			}
			events, ended = append(events, got...), whole
			f.checkStream(s, events, ended)
		}
	}
}
