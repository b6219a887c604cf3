package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

func discard(int, string) error { return nil }

// TestEndedCallIsNotSent has calls whose context has ended before their first attempt, such as
// those that a host's shutdown ends.
func TestEndedCallIsNotSent(t *testing.T) {
	f := newFleet(t, 1, 4, Policy{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, class := range []objects.Class{objects.ClassUrgent, objects.ClassOnline, objects.ClassBatch} {
		_, err := f.d.Stream(ctx, newCall(class, 4), discard)
		expectError(t, err, ErrDeadline, NotRun)
	}
	if n := f.calls.Load(); n != 0 {
		t.Errorf("%d calls were sent", n)
	}
}

// TestCallThatEndsInAQueueIsNotRun ends a call that waits for its ticket.
func TestCallThatEndsInAQueueIsNotRun(t *testing.T) {
	f := newFleet(t, 1, 1, Policy{OnlineWait: streamTimeout})
	holding, release := context.WithCancel(context.Background())
	defer release()
	begun := make(chan struct{}, 1)
	go func() {
		_, _ = f.d.Stream(holding, newCall(objects.ClassOnline, 10000), func(offset int, _ string) error {
			if offset == 0 {
				begun <- struct{}{}
			}
			return nil
		})
	}()
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := f.d.Stream(ctx, newCall(objects.ClassOnline, 4), discard)
	expectError(t, err, ErrDeadline, NotRun)
	if n := f.calls.Load(); n != 1 {
		t.Errorf("%d calls were sent", n)
	}
}
