package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// callForRun begins a call at a host and waits until an endpoint works on it; the function
// that it returns waits for the answer.
func (f *strandedFleet) callForRun(ctx context.Context, h *linkedHost, kind *callKind, id string) (runOf, func() *callAttempt) {
	f.t.Helper()
	answered := make(chan *callAttempt, 1)
	go func() { answered <- h.call(ctx, kind, id, nil) }()
	deadline := time.Now().Add(strandedObjective)
	for time.Now().Before(deadline) {
		if runs := f.runsOf()[id]; len(runs) > 0 {
			return runs[0], func() *callAttempt { return <-answered }
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Fatalf("%s: no endpoint works on it within its objective; %s", kind.name, <-answered)
	return runOf{}, nil
}

// slowEngines lets streams last for a second and a half.
func (f *strandedFleet) slowEngines() {
	for _, r := range f.engines {
		r.Pace = 75 * time.Millisecond
	}
}

// TestRoutesEndpointThatBreaksOffWorkOfAStrandedHost has endpoints break every answer off while
// the callers' host reaches none: no answer looks complete, and what may run once runs once.
func TestRoutesEndpointThatBreaksOffWorkOfAStrandedHost(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		kind   *callKind
		faults standin.ReplicaFaults
	}{
		{"body with a length", safeCall, standin.ReplicaFaults{Cut: true}},
		{"at most once", onceCall, standin.ReplicaFaults{Cut: true}},
		{"at most once, before the head", onceCall, standin.ReplicaFaults{ResetBefore: true}},
		{"body without a length", openCall, standin.ReplicaFaults{Cut: true, Unframed: true}},
		{"stream, reset inside an event", singleCall, standin.ReplicaFaults{CutAfter: 5}},
		{"stream, ended inside an event", singleCall, standin.ReplicaFaults{EndInsideAfter: 5}},
		{"stream that may be resumed", streamCall, standin.ReplicaFaults{CutAfter: 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t)
			f.strand(cutRefuse, f.hosts[1])
			c.faults.Announced = true
			for _, r := range f.endpoints() {
				r.SetFaults(c.faults)
			}
			attempts := f.workFor(time.Second, f.hosts[1:2], c.kind)
			f.checkPromises(attempts)
			runs := f.runsOf()
			ran := 0
			for _, a := range attempts {
				ran += len(runs[a.id])
			}
			if ran == 0 {
				t.Errorf("no endpoint ran any of %d calls%s", len(attempts), first(attempts))
			}
		})
	}
}

// TestRoutesHelperThatDiesWithWorkOfAStrandedHost kills the host through which a call reached
// its endpoint. A stream that may be resumed goes on; another answer is broken or a failure,
// never complete or "not run".
func TestRoutesHelperThatDiesWithWorkOfAStrandedHost(t *testing.T) {
	t.Parallel()
	for _, kind := range []*callKind{onceCall, singleCall, streamCall} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t)
			f.slowEngines()
			f.strand(cutHang, f.hosts[1])
			for _, r := range f.plain {
				r.SetFaults(standin.ReplicaFaults{Silent: true})
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*strandedPatience)
			defer cancel()
			run, answer := f.callForRun(ctx, f.hosts[1], kind, "helped")
			helper := f.sender(run)
			if helper == f.hosts[1] {
				t.Fatal("the host that is cut reached the endpoint itself")
			}
			// The stream is in its middle.
			time.Sleep(500 * time.Millisecond)
			helper.kill()
			a := answer()
			f.checkPromises([]*callAttempt{a})
			if kind == streamCall && !a.served() {
				t.Errorf("the stream did not go on: %s", a)
			}
			if kind != streamCall && a.served() {
				t.Errorf("the answer looks complete: %s", a)
			}
			if n := len(f.runsOf()["helped"]); kind == streamCall && n != strandedAttempts || kind != streamCall && n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
}

// TestRoutesCallerThatLeavesAStrandedHostEndsItsRun has callers leave before the first byte of
// their answer and in the midst of it: the run at the endpoint ends within a second.
func TestRoutesCallerThatLeavesAStrandedHostEndsItsRun(t *testing.T) {
	t.Parallel()
	const soon = time.Second
	for _, kind := range []*callKind{onceCall, singleCall, streamCall} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t)
			for _, r := range f.engines {
				r.Pace = 200 * time.Millisecond
			}
			f.strand(cutHang, f.hosts[1])
			for _, r := range f.plain {
				r.SetFaults(standin.ReplicaFaults{Silent: true})
			}
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			_, answer := f.callForRun(ctx, f.hosts[1], kind, "left")
			time.Sleep(300 * time.Millisecond)
			leave()
			left := time.Now()
			answer()
			for f.runsOf()["left"][0].Ended == "" && time.Since(left) < soon {
				time.Sleep(5 * time.Millisecond)
			}
			if runs := f.runsOf()["left"]; len(runs) != 1 || runs[0].Ended != "left" {
				t.Errorf("%s after the caller left: %d runs, the first ended %q", time.Since(left).Round(time.Millisecond), len(runs), runs[0].Ended)
			}
		})
	}
}

// TestRoutesStrandedHostPassesEventsOnAsTheyCome reads a slow stream at a host that is cut: its
// answer begins long before the stream ends.
func TestRoutesStrandedHostPassesEventsOnAsTheyCome(t *testing.T) {
	t.Parallel()
	f := newStrandedFleet(t)
	f.slowEngines()
	f.strand(cutHang, f.hosts[1])
	begun := time.Now()
	var firstEvent time.Duration
	events, status := f.hosts[1].openStream("slow", "", 0, strandedEvents, func() { firstEvent = time.Since(begun) })
	if status != http.StatusOK || events != strandedEvents || firstEvent > strandedObjective/2 {
		t.Errorf("status %d, %d events, the first after %s, all after %s", status, events, firstEvent, time.Since(begun))
	}
}

// TestRoutesHelperThatStoodStillWithWorkOfAStrandedHost stops the host through which a call reached its
// endpoint, and has it go on while the call is at another endpoint, or still waits for it: a stream that
// may be resumed is whole, and no answer looks complete that is not.
func TestRoutesHelperThatStoodStillWithWorkOfAStrandedHost(t *testing.T) {
	t.Parallel()
	for _, kind := range []*callKind{singleCall, streamCall} {
		for _, stopFor := range []time.Duration{600 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s, %s", kind.name, stopFor), func(t *testing.T) {
				t.Parallel()
				f := newStrandedFleet(t)
				f.slowEngines()
				f.strand(cutHang, f.hosts[1])
				ctx, cancel := context.WithTimeout(context.Background(), 2*strandedPatience)
				defer cancel()
				run, answer := f.callForRun(ctx, f.hosts[1], kind, "helped")
				helper := f.sender(run)
				if helper == f.hosts[1] {
					t.Fatal("the host that is cut reached the endpoint itself")
				}
				// The stream is in its middle.
				time.Sleep(500 * time.Millisecond)
				helper.freeze()
				time.Sleep(stopFor)
				helper.thaw()
				a := answer()
				f.checkPromises([]*callAttempt{a})
				if kind == streamCall && !a.served() {
					t.Errorf("the stream did not go on: %s", a)
				}
			})
		}
	}
}
