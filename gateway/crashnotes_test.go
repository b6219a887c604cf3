package gateway

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// trackedCrashes is the scheduler of a host of these tests, as far as crashes concern it.
type trackedCrashes struct {
	*blame.Tracker
	now time.Time
}

func (t *trackedCrashes) UnexplainedCrashes(context.Context) ([]blame.Crash, time.Time, error) {
	return t.Unexplained(t.now), t.now, nil
}

func (t *trackedCrashes) RestoreCrashes(crashes []blame.Crash) {
	for i := range crashes {
		t.RecordCrash(t.now, &crashes[i])
	}
}

// crash has all three endpoints of a service crash under a request.
func (t *trackedCrashes) crash(round int) {
	for i := range 3 {
		t.RecordCrash(t.now, &blame.Crash{
			Endpoint: fmt.Sprintf("e%d@%d", i, round), Service: "s", Endpoints: 3, Attempt: fmt.Sprint(round, i), Keys: []blame.Key{"request:r"},
		})
	}
}

// evaluate returns the verdicts once the hosts were heard.
func (t *trackedCrashes) evaluate() []blame.Combination {
	const hearing = 300 * time.Millisecond
	t.Evaluate(t.now.Add(hearing), nil)
	t.now = t.now.Add(2 * hearing)
	return t.Evaluate(t.now, nil)
}

// newCrashNotes returns the notes of a host that schedules, and what it knows of crashes.
func newCrashNotes(address string, now time.Time) (*crashNotes, *trackedCrashes) {
	tracked := &trackedCrashes{Tracker: blame.NewTracker(), now: now}
	return &crashNotes{
		store: platform.NewStore(address, platform.StoreOptions{}), evidence: tracked,
		schedules: func() bool { return true }, logger: log.NewNopLogger(),
	}, tracked
}

// TestCrashesOutliveAllHosts guards against a request that crashes endpoints again after each
// rolling restart: what verdicts rest on was known only to the hosts that saw it. Each host here
// ends after one round of crashes, and only together they are enough for a verdict, whatever the
// difference between the clocks.
func TestCrashesOutliveAllHosts(t *testing.T) {
	for _, skew := range []time.Duration{0, time.Hour, -time.Hour} {
		store := standin.NewStore(standin.StoreFaults{})
		server := httptest.NewServer(store.Handler())
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		ctx, now := context.Background(), time.Now().Add(skew)
		var verdicts []blame.Combination
		const rounds = 4
		for round := range rounds {
			host, tracked := newCrashNotes(server.Listener.Addr().String(), now)
			host.step(ctx)
			if host.written == nil {
				t.Fatal("the notes were not read")
			}
			tracked.now = tracked.now.Add(time.Second)
			tracked.crash(round)
			if verdicts = tracked.evaluate(); len(verdicts) > 0 && round < rounds-1 {
				t.Errorf("skew %s: convicted %v after %d rounds", skew, verdicts, round+1)
			}
			host.step(ctx)
			now = tracked.now.Add(5 * time.Second)
		}
		if len(verdicts) != 1 || verdicts[0].String() != "request:r" {
			t.Errorf("skew %s: convicted %v after %d rounds of crashes, each seen by a host of its own", skew, verdicts, rounds)
		}
	}
}

// TestCrashNotesAreWrittenOnce checks that a host writes when the crashes change only, and deletes
// the notes on crashes that have expired or that an answer has cleared.
func TestCrashNotesAreWrittenOnce(t *testing.T) {
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	ctx, address := context.Background(), server.Listener.Addr().String()
	host, tracked := newCrashNotes(address, time.Now())
	appends := 0
	host.store = &countingAppends{Store: platform.NewStore(address, platform.StoreOptions{}), appends: &appends}
	expect := func(what string, wantNotes, wantAppends int) {
		t.Helper()
		for range 3 {
			host.step(ctx)
			tracked.now = tracked.now.Add(time.Second)
		}
		records, err := platform.ListAll(ctx, host.store, platform.TopicCrashes)
		if err != nil || len(records) != wantNotes || appends != wantAppends {
			t.Errorf("%s: %d notes after %d appends, error %v; want %d after %d", what, len(records), appends, err, wantNotes, wantAppends)
		}
	}
	expect("no crash", 0, 0)
	tracked.crash(0)
	expect("crashes", 3, 1)
	tracked.RecordAnswer(tracked.now, blame.Answer{Key: "request:r"})
	expect("the request was answered", 0, 2)
	tracked.crash(1)
	expect("more crashes", 3, 3)
	tracked.now = tracked.now.Add(time.Hour)
	expect("they have expired", 0, 4)
	host.schedules = func() bool { return false }
	tracked.crash(2)
	expect("another host schedules", 0, 4)
}

// TestCrashNotesAreBounded has requests with long keys at the crashes, as callers choose them: what is
// written must fit the store, and the runs that fit are kept.
func TestCrashNotesAreBounded(t *testing.T) {
	long := blame.PartKey(strings.Repeat("x", 3000))
	var crashes []blame.Crash
	for e := range 64 {
		for run := range 8 {
			crashes = append(crashes, blame.Crash{
				Endpoint: fmt.Sprint("e", e), Service: "s", Attempt: fmt.Sprint(run), Keys: []blame.Key{long, blame.Key(fmt.Sprint("request:", run))},
			})
		}
	}
	// An append takes 2 MiB.
	const maxTotal = 1 << 20
	total, notes := 0, notesOf(time.Now(), crashes)
	for _, value := range notes {
		total += len(value)
		if !strings.Contains(value, "request:0") {
			t.Error("a note without the first run")
		}
	}
	if len(notes) != 64 || total > maxTotal {
		t.Errorf("%d notes of %d bytes", len(notes), total)
	}
}

// countingAppends is a store that counts appends.
type countingAppends struct {
	*platform.Store
	appends *int
}

func (s *countingAppends) Append(ctx context.Context, topic platform.Topic, records [][]byte) (int64, error) {
	*s.appends++
	return s.Store.Append(ctx, topic, records)
}
