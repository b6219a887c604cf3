package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// afterCrash is what has the address and id of an engine that crashed.
type afterCrash string

const (
	gone      afterCrash = "gone"
	restarted afterCrash = "restarted"
	upgraded  afterCrash = "of another version"
)

// TestRoutesEnginesThatCrashWhileTheirHostStandsStill crashes engines whose responses have neither a length
// nor chunks in the middle of streams and items of a host that stands still, and starts others under
// their addresses and ids, also of another version: as the host goes on it meets regular ends, behind which an engine is
// alive. None may be taken for the end of a stream or of a text, and nothing goes on at another version.
func TestRoutesEnginesThatCrashWhileTheirHostStandsStill(t *testing.T) {
	for _, after := range []afterCrash{gone, restarted, upgraded} {
		t.Run(string(after), func(t *testing.T) {
			t.Parallel()
			f := newRunFleet(t, 60*time.Millisecond)
			for _, r := range f.engines {
				r.SetFaults(standin.ReplicaFaults{Unframed: true})
			}
			l := newLotReader(f)
			stop := make(chan struct{})
			following := l.follow(stop)
			goneOn := 0
			for round := range 2 {
				goneOn += l.crashWhileStandingStill(round, after)
			}
			l.awaitAll()
			close(stop)
			following.Wait()
			if goneOn == 0 {
				t.Error("no stream went on at another engine: the run did not reach what it tests")
			}
			t.Logf("%d streams went on at another engine", goneOn)
		})
	}
}

// crashWhileStandingStill crashes an engine of each version while a host stands still. It returns how many
// streams of this host went on at another engine.
func (l *lotReader) crashWhileStandingStill(round int, after afterCrash) (goneOn int) {
	host := l.gateways[round]
	l.submit(round, fmt.Sprint("j", round), 8)
	streams := make([]*runStream, 12)
	for i := range streams {
		streams[i] = l.openRun(host, fmt.Sprintf("s-%d-%d", round, i), "", 0)
	}
	for _, s := range streams {
		s.awaitEvents(3)
	}
	host.freeze()
	for _, i := range []int{2 * round, 2*round + 1} {
		old := l.engines[i]
		old.Close()
		switch after {
		case gone:
			l.store.Put(platform.TopicEndpoints.Name, old.ID, nil)
		case restarted:
			l.startInPlaceOf(old, versionOf(i), int64(2+round))
		case upgraded:
			l.startInPlaceOf(old, versionOf(i+1), int64(2+round))
		}
	}
	time.Sleep(900 * time.Millisecond)
	host.thaw()
	for _, s := range streams {
		<-s.closed
		events, ended := s.soFar()
		l.checkStream(s, events, ended)
		if n := len(events); n > 0 && events[0].replica != events[n-1].replica {
			goneOn++
		}
	}
	return goneOn
}

// startInPlaceOf starts an engine under the address and id of one that has ended.
func (f *runFleet) startInPlaceOf(old *standin.Replica, version string, born int64) {
	name := fmt.Sprint(old.RunName(), "-", born)
	r, err := standin.StartReplicaAt(old.Address(), old.ID, runEvents, func(r *standin.Replica) {
		r.Name, r.NameRuns, r.KeepStreams, r.Pace, r.Born = name, true, true, old.Pace, born
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	f.mu.Lock()
	f.engines, f.versions[name] = append(f.engines, r), version
	f.mu.Unlock()
	f.store.Put(platform.TopicEndpoints.Name, r.ID, fmt.Appendf(nil,
		`{"service":"engines","address":%q,"zone":"sk-central-a","version":%q,"slots":4,"state":"ready","cold_left_ms":0,"seq":1,"born":%d}`, r.Address(), version, born))
}
