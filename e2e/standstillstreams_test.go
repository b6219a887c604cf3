package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestRoutesStreamsOfAHostThatStoodStill stops hosts, the one that schedules among them, in the middle
// of the streams that they serve. Some callers wait; others take their streams up elsewhere, and once more at
// the stopped host as it goes on, and read on what it still sends. No event is missing or comes
// twice, and nothing ends as complete before its last one.
func TestRoutesStreamsOfAHostThatStoodStill(t *testing.T) {
	for _, stopFor := range []time.Duration{600 * time.Millisecond, 1400 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(stopFor.String(), func(t *testing.T) {
			t.Parallel()
			f := newRunFleet(t, 60*time.Millisecond)
			whole, elsewhere, back := 0, 0, 0
			for round := range runHosts {
				w, e, b := f.standStillWithStreams(round, stopFor)
				whole, elsewhere, back = whole+w, elsewhere+e, back+b
			}
			if whole == 0 || elsewhere == 0 || back == 0 {
				t.Errorf("the run did not reach what it tests")
			}
			t.Logf("%d streams were whole at the host that stood still, %d went on elsewhere, %d back there", whole, elsewhere, back)
		})
	}
}

// standStillWithStreams stops a host in the middle of streams. It returns how many of them were whole
// there, went on elsewhere, and went on at the host once more.
func (f *runFleet) standStillWithStreams(round int, stopFor time.Duration) (whole, elsewhere, back int) {
	f.t.Helper()
	const streams, tookElsewhere = 12, 4
	host := f.gateways[round]
	first := make([]*runStream, streams)
	for i := range first {
		first[i] = f.openRun(host, fmt.Sprintf("first-%d-%d", round, i), "", 0)
	}
	for _, s := range first {
		s.awaitEvents(3)
	}
	host.freeze()
	goesOn := time.Now().Add(stopFor)
	// What the host had passed on arrives.
	time.Sleep(20 * time.Millisecond)
	// The even streams are taken up elsewhere.
	second, had := make([]*runStream, streams), make([][]runEvent, streams)
	for i := 0; i < streams; i += 2 {
		had[i], _ = first[i].soFar()
		if len(had[i]) > 0 {
			second[i] = f.openRun(f.gateways[(round+1+i/2%2)%runHosts], fmt.Sprintf("second-%d-%d", round, i), first[i].id, len(had[i]))
		}
	}
	// Every other one of those is left in its middle.
	var leaving sync.WaitGroup
	for i := 0; i < streams; i += 4 {
		if s := second[i]; s != nil {
			leaving.Go(func() { s.awaitEvents(tookElsewhere); s.leave() })
		}
	}
	time.Sleep(time.Until(goesOn))
	host.thaw()
	leaving.Wait()
	third := make([]*runStream, streams)
	for i := 0; i < streams; i += 4 {
		if second[i] == nil {
			continue
		}
		<-second[i].closed
		got, _ := second[i].soFar()
		had[i] = append(had[i], got...)
		if len(had[i]) > 0 && len(had[i]) < runEvents {
			third[i] = f.openRun(host, fmt.Sprintf("third-%d-%d", round, i), first[i].id, len(had[i]))
		}
	}
	for i, s := range first {
		<-s.closed
		events, ended := s.soFar()
		f.checkStream(s, events, ended)
		if ended {
			whole++
		}
		if second[i] == nil {
			continue
		}
		<-second[i].closed
		if i%4 != 0 {
			got, ended := second[i].soFar()
			f.checkStream(second[i], append(had[i], got...), ended)
			if len(got) > 0 {
				elsewhere++
			}
			continue
		}
		f.checkStream(second[i], had[i], false)
		if third[i] != nil {
			<-third[i].closed
			got, ended := third[i].soFar()
			f.checkStream(third[i], append(had[i], got...), ended)
			if len(got) > 0 {
				back++
			}
		}
	}
	return whole, elsewhere, back
}

// checkStream checks what a caller has of a stream: the events of earlier responses, and then those of s.
func (f *runFleet) checkStream(s *runStream, events []runEvent, ended bool) {
	f.t.Helper()
	if s.odd != "" {
		f.t.Errorf("%s holds %q", s.id, s.odd)
	}
	if reason := f.disorder(events, ended); reason != "" {
		f.t.Errorf("%s: %s: %v", s.id, reason, events)
	}
}
