package batch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin"
)

// TestItemsGoOnBehindACheckpoint kills all hosts while an item runs that has produced
// ten of twelve events. The next run must resume after the ten events, and the output
// must be complete.
func TestItemsGoOnBehindACheckpoint(t *testing.T) {
	address, replica := startStoreAndEngine(t, 12)
	replica.SetFaults(standin.ReplicaFaults{SilentAfter: 10})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	first := newStoredLedger("first", address, replica)
	stop := followLedger(t, first)
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 12, Body: []byte("q")}}
	if v, err := first.Submit(ctx, "j", "h", "/lots-in/j", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	hostContext, stopHost := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var uses recordingSlot
		NewRunner(hostContext, first).Run(hostContext, &scheduler.Start{Ticket: "t", Endpoint: "engine-0", Item: scheduler.ItemRef{Job: "j"}}, &uses)
	}()
	ref := scheduler.ItemRef{Job: "j"}
	checkpoints := NewCheckpoints(first)
	for first.progress.get(ref).events == 0 {
		time.Sleep(time.Millisecond)
		if ctx.Err() != nil {
			t.Fatal("the item produced no event in time")
		}
	}
	// The run snapshots its first event at once and the others at the next snapshot. A
	// process that is killed takes no further snapshot, so the test sets the progress.
	first.progress.put(ref, itemProgress{events: 10, tokens: 10, output: itemOutput("i", 10)})
	checkpoints.save(ctx)
	stopHost()
	<-ended
	stop()

	replica.SetFaults(standin.ReplicaFaults{})
	second := newStoredLedger("second", address, replica)
	t.Cleanup(followLedger(t, second))
	if i := second.opts.Scheduler.(fakeScheduler)[ref]; i.TokensDone != 10 {
		t.Errorf("the scheduler was told of %d saved tokens, want 10", i.TokensDone)
	}
	if use := runItem(ctx, t, second); use.Outcome != scheduler.Finished {
		t.Fatalf("slot released with %+v", use)
	}
	if runs := replica.Runs(); runs[len(runs)-1].After != 10 {
		t.Errorf("the run resumed after event %d, want 10", runs[len(runs)-1].After)
	}
	if err := second.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	second.mu.Lock()
	results := second.state.Job("j").Results
	second.mu.Unlock()
	if len(results) != 1 {
		t.Fatalf("got %d results, want 1", len(results))
	}
	if output, err := second.payloads.get(ctx, &results[0].Output); err != nil || string(output) != itemOutput("i", 12) {
		t.Errorf("output %q, error %v", output, err)
	}
}

// itemOutput returns the output of an item after a number of events.
func itemOutput(id string, events int) string {
	lines := make([]string, 0, events)
	for n := 1; n <= events; n++ {
		lines = append(lines, standin.EventData(id, n))
	}
	return strings.Join(lines, "\n")
}

// TestCheckpointsAreWorthTheirRecord checks that progress already in the ledger is not
// written again, nor with only a few further events, and that the progress of an item
// that has ended is dropped.
func TestCheckpointsAreWorthTheirRecord(t *testing.T) {
	p, ref := newProgressStore(), scheduler.ItemRef{Job: "j"}
	p.put(ref, itemProgress{events: minCheckpointEvents})
	if n := len(p.unsavedItems(minCheckpointEvents)); n != 1 {
		t.Errorf("%d unsaved items, want 1", n)
	}
	p.markSaved(ref, minCheckpointEvents)
	p.put(ref, itemProgress{events: 2*minCheckpointEvents - 1})
	if n := len(p.unsavedItems(minCheckpointEvents)); n != 0 {
		t.Errorf("%d unsaved items after a checkpoint, want 0", n)
	}
	p.drop(ref)
	p.markSaved(ref, 2*minCheckpointEvents)
	if len(p.savedEvents) != 0 {
		t.Error("the saved events of a dropped item are kept")
	}
}

// TestCheckpointsFitTheStore checks the bound on the checkpoint rate of all hosts
// together.
func TestCheckpointsFitTheStore(t *testing.T) {
	for _, hosts := range []int{1, 9, 82, 295, 1000} {
		if rate := float64(hosts) / checkpointPeriod(hosts).Seconds(); rate > maxCheckpointRate+0.01 {
			t.Errorf("%d hosts: %.1f checkpoints per second", hosts, rate)
		}
	}
}
