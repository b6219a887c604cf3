package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// fakeLinks are links that are sound, or lost.
type fakeLinks struct {
	sound bool

	mu        sync.Mutex
	suspected int
	asked     chan struct{}
}

func (l *fakeLinks) Suspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspected++
}

func (l *fakeLinks) EndpointFailed(context.Context, string) bool {
	defer func() { l.asked <- struct{}{} }()
	return l.sound
}

// TestLostLinksAreNoDeadEndpoint sends a call to an endpoint that is not reached: it is told to be
// dead only if this host's links are sound.
func TestLostLinksAreNoDeadEndpoint(t *testing.T) {
	for _, sound := range []bool{true, false} {
		f := newFleet(t, 1, 4, Policy{RetryShare: 0.2})
		links := &fakeLinks{sound: sound, asked: make(chan struct{}, 4)}
		observed := make(chan membership.Condition, 4)
		f.d.opts.Links = links
		f.d.opts.Observe = func(_ string, _ int64, c membership.Condition) { observed <- c }
		f.engines[0].Close()
		_, err := f.stream(newCall(objects.ClassUrgent, 4), nil)
		expectError(t, err, ErrNoEndpoint, NotRun)
		<-links.asked
		select {
		case c := <-observed:
			if !sound || c != membership.Dead {
				t.Errorf("links sound: %t, observed %s", sound, c)
			}
		case <-time.After(200 * time.Millisecond):
			if sound {
				t.Error("nothing was observed")
			}
		}
	}
}

// TestLostLinksAreNoCrash asks whether an endpoint that nothing serves at has died.
func TestLostLinksAreNoCrash(t *testing.T) {
	f := newFleet(t, 1, 4, Policy{})
	h := &platform.Host{Name: "e0", Address: f.engines[0].URL}
	links := &fakeLinks{asked: make(chan struct{}, 4)}
	f.d.opts.Links = links
	f.engines[0].Close()
	if f.d.hasDied(context.Background(), h) {
		t.Error("an endpoint that this host can't reach was taken for one that died")
	}
	links.sound = true
	if !f.d.hasDied(context.Background(), h) {
		t.Error("an endpoint that ended was not taken for one that died")
	}
}

// TestBrokenStreamsBringLinksIntoDoubt breaks a stream off.
func TestBrokenStreamsBringLinksIntoDoubt(t *testing.T) {
	f := newFleet(t, 3, 4, Policy{RetryShare: 0.2})
	links := &fakeLinks{sound: true, asked: make(chan struct{}, 4)}
	f.d.opts.Links = links
	for i := range f.engines {
		f.setFaults(i, standin.EngineFaults{BreakAfter: 2})
	}
	f.expectFullAnswer(newCall(objects.ClassOnline, 4))
	links.mu.Lock()
	defer links.mu.Unlock()
	if links.suspected == 0 {
		t.Error("the links were not looked into")
	}
}

// TestEndpointsReachedThroughAnotherHostAreChosenAgain forgets that an endpoint was not reached.
func TestEndpointsReachedThroughAnotherHostAreChosenAgain(t *testing.T) {
	f := newFleet(t, 1, 4, Policy{})
	f.d.router.exclude("e0")
	_, err := f.stream(newCall(objects.ClassOnline, 4), nil)
	expectError(t, err, ErrNoEndpoint, NotRun)
	f.d.ForgetExclusions()
	f.expectFullAnswer(newCall(objects.ClassOnline, 4))
}
