package scheduler

import (
	"testing"
	"time"
)

// TestReplayPeaks replays the usual load of the sites: online requests are in time at the
// peaks, and so are the batch items that run between the peaks.
func TestReplayPeaks(t *testing.T) {
	for _, seed := range seeds {
		o := runReplay(t, hronec(), seed)
		if share(o.inTime, o.online) < 0.97 || share(o.itemsInTime, o.items) < 0.97 {
			t.Errorf("seed %d: %s", seed, o)
		}
		if o.refusedWithRoom > 0 {
			t.Errorf("seed %d: %d requests refused while slots were free", seed, o.refusedWithRoom)
		}
	}
}

// TestReplayThirdOfSlotsGone removes four of twelve engines for five seconds that include
// a peak: clients that are refused are served on their retry.
func TestReplayThirdOfSlotsGone(t *testing.T) {
	for _, seed := range seeds {
		l := hronec()
		l.lost = func(at time.Duration) int {
			if at > 14*time.Second && at < 19*time.Second {
				return 4
			}
			return 0
		}
		o := runReplay(t, l, seed)
		if served := share(o.inTime+o.late, o.online); served < 0.99 || share(o.inTime, o.online) < 0.95 {
			t.Errorf("seed %d: %s", seed, o)
		}
		if o.refusedWithRoom > 0 {
			t.Errorf("seed %d: %d requests refused while slots were free", seed, o.refusedWithRoom)
		}
	}
}

// manyJobs returns the load with six times the jobs of hronec for six seconds.
func manyJobs(l replayLoad) replayLoad {
	l.jobs = func(at time.Duration) float64 {
		if at > 5*time.Second && at < 11*time.Second {
			return 6 * 0.69
		}
		return 0.69
	}
	return l
}

// TestReplayManyJobs replays more batch items than can be in time. Online requests must
// not be delayed, and seven in ten items are in time. Run by due time alone, most of the
// items would be late.
func TestReplayManyJobs(t *testing.T) {
	for _, seed := range seeds {
		o := runReplay(t, manyJobs(hronec()), seed)
		if share(o.inTime, o.online) < 0.97 {
			t.Errorf("seed %d: fewer than 97%% of online requests in time: %s", seed, o)
		}
		if share(o.itemsInTime, o.items) < 0.7 {
			t.Errorf("seed %d: %s", seed, o)
		}
	}
}

// TestReplayOverload replays online requests that exceed the slots of six engines at each
// peak: waits stay within the objective, and clients are rarely refused twice while newer
// requests are admitted.
func TestReplayOverload(t *testing.T) {
	for _, seed := range seeds {
		l := replayLoad{endpoints: 6, slots: 8, online: peaks(55), jobs: steady(0.3), length: 35 * time.Second}
		o := runReplay(t, l, seed)
		if share(o.late, o.online) > 0.05 {
			t.Errorf("seed %d: %d late: %s", seed, o.late, o)
		}
		if share(o.refusedTwice, o.refused) > 0.2 {
			t.Errorf("seed %d: %d refused twice: %s", seed, o.refusedTwice, o)
		}
		if o.refusedWithRoom > 0 {
			t.Errorf("seed %d: %d requests refused while slots were free", seed, o.refusedWithRoom)
		}
	}
}

// TestReplaySlowFirstEvent replays a larger site whose first event takes a third of the
// objective, with more requests at the peaks than slots: admitted requests are in time. A
// scheduler that underestimates the first event admits requests that are late, and whose
// slots others could have used in time.
func TestReplaySlowFirstEvent(t *testing.T) {
	for _, seed := range seeds {
		l := replayLoad{endpoints: 57, slots: 7, online: peaks(305), length: 35 * time.Second, first: 104 * time.Millisecond}
		o := runReplay(t, l, seed)
		if share(o.late, o.online) > 0.05 {
			t.Errorf("seed %d: %d late: %s", seed, o.late, o)
		}
		if share(o.inTime, o.online) < 0.85 {
			t.Errorf("seed %d: %s", seed, o)
		}
		if o.refusedWithRoom > 0 {
			t.Errorf("seed %d: %d requests refused while slots were free", seed, o.refusedWithRoom)
		}
	}
}

// TestReplayShareOfHosts replays a scheduler that is partitioned from a third of the hosts:
// it uses only its share of the slots, and its requests are still in time.
func TestReplayShareOfHosts(t *testing.T) {
	l := hronec()
	l.share = 2.0 / 3
	l.online = peaks(55 * l.share)
	l.jobs = nil
	for _, seed := range seeds {
		o := runReplay(t, l, seed)
		if share(o.inTime, o.online) < 0.95 {
			t.Errorf("seed %d: %s", seed, o)
		}
	}
}

// TestBatchRunsAreWorthTheirStart bounds how often items are started under a load with
// peaks of online requests to three starts per item: each start opens a connection and
// processes the prompt again.
func TestBatchRunsAreWorthTheirStart(t *testing.T) {
	for _, seed := range seeds {
		o := runReplay(t, manyJobs(hronec()), seed)
		if o.starts > 3*o.items {
			t.Errorf("seed %d: %d starts of %d items", seed, o.starts, o.items)
		}
	}
}

// TestPausedEndpointsTakeNoSlotsOfOthers lets one of two engines stall while it is full.
// The work in progress there must not keep requests and batch items from the free slots of
// the other engine.
func TestPausedEndpointsTakeNoSlotsOfOthers(t *testing.T) {
	c := NewCore(Options{})
	c.Join(replayStart, &Hello{Host: "h", Zone: "z", Region: "r"})
	c.SetEndpoints(replayStart, []Endpoint{{ID: "silent", Service: "s", Slots: 4}})
	acquire := func(ticket string) {
		c.Acquire(replayStart, "h", SlotRequest{Ticket: ticket, Service: "s", Objective: 300 * time.Millisecond, Left: 5 * time.Second})
	}
	for _, ticket := range []string{"a", "b", "c", "d"} {
		acquire(ticket)
	}
	c.SetEndpoints(replayStart, []Endpoint{{ID: "silent", Service: "s", Slots: 4}, {ID: "free", Service: "s", Slots: 4}})
	c.Stalled(replayStart, "a")
	c.Effects()
	acquire("e")
	c.AddItem(replayStart, Item{Ref: ItemRef{Job: "j"}, Service: "s", Due: replayStart.Add(time.Minute), ExpectedTokens: 10})
	granted, started := 0, 0
	for _, e := range c.Effects() {
		switch e := e.(type) {
		case Grant:
			if e.Endpoint == "free" {
				granted++
			}
		case Start:
			if e.Endpoint == "free" {
				started++
			}
		}
	}
	if granted != 1 || started != 1 {
		t.Errorf("%d requests and %d items got a slot of the other engine, want 1 and 1", granted, started)
	}
}
