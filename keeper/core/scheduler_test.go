package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
)

// jobsState returns a state with jobs of n items each.
func jobsState(t *testing.T, n int, jobs ...ledger.JobCommit) *ledger.State {
	t.Helper()
	s := ledger.NewState()
	s.Apply(0, &ledger.Record{Claim: &lease.Claim{Holder: "a", Previous: lease.NoEpoch}})
	for i := range jobs {
		jobs[i].Attempt = "1"
		jobs[i].Count = n
		r := &ledger.Record{Epoch: 0, Seq: int64(i + 1), Entries: []ledger.Entry{
			{JobItems: &ledger.JobItems{Job: jobs[i].Job, Attempt: "1", Items: make([]ledger.Item, n)}},
			{JobCommit: &jobs[i]},
		}}
		if v := s.Apply(int64(i+1), r); v != ledger.Valid {
			t.Fatalf("verdict %d", v)
		}
	}
	return s
}

func weights(of map[string]int) func(string) int {
	return func(customer string) int { return of[customer] }
}

// completeNext starts the next item and completes it as done, including its
// removal after the result was read back.
func completeNext(t *testing.T, s *scheduler, state *ledger.State, weight func(string) int) Task {
	t.Helper()
	task, found := s.next(simStart, state, weight)
	if !found {
		t.Fatal("no item started")
	}
	s.applyOutcome(simStart, &Outcome{Key: task.Key, Done: &ledger.ItemDone{}})
	delete(s.started, task.Key)
	return task
}

func TestEarliestDeadlineFirstWithinCustomer(t *testing.T) {
	state := jobsState(t, 2,
		ledger.JobCommit{Job: "late", Customer: "c", DueUnix: 200},
		ledger.JobCommit{Job: "soon", Customer: "c", DueUnix: 100},
	)
	s := newScheduler(4)
	var got []string
	for range 4 {
		got = append(got, completeNext(t, s, state, weights(nil)).Key.Job)
	}
	if fmt.Sprint(got) != "[soon soon late late]" {
		t.Errorf("order %v", got)
	}
}

func TestCustomersShareByWeight(t *testing.T) {
	state := jobsState(t, 100,
		ledger.JobCommit{Job: "a", Customer: "heavy", DueUnix: 900},
		ledger.JobCommit{Job: "b", Customer: "light", DueUnix: 100},
	)
	s := newScheduler(4)
	served := make(map[string]int)
	for range 80 {
		served[completeNext(t, s, state, weights(map[string]int{"heavy": 3, "light": 1})).Customer]++
	}
	if served["heavy"] != 60 || served["light"] != 20 {
		t.Errorf("served %v, want 60 and 20", served)
	}
}

// A new customer gets its share from now on, without compensation for the time in
// which it had no items.
func TestNewCustomerStartsLevel(t *testing.T) {
	state := jobsState(t, 100, ledger.JobCommit{Job: "a", Customer: "old", DueUnix: 1})
	s := newScheduler(4)
	for range 50 {
		completeNext(t, s, state, weights(nil))
	}
	both := jobsState(t, 100,
		ledger.JobCommit{Job: "a", Customer: "old", DueUnix: 1},
		ledger.JobCommit{Job: "b", Customer: "new", DueUnix: 2},
	)
	served := make(map[string]int)
	for range 40 {
		served[completeNext(t, s, both, weights(nil)).Customer]++
	}
	if served["new"] < 19 || served["new"] > 21 {
		t.Errorf("served %v, want about 20 each", served)
	}
}

func TestRefusalPausesAllItems(t *testing.T) {
	state := jobsState(t, 10, ledger.JobCommit{Job: "a", Customer: "c"})
	s := newScheduler(4)
	task, _ := s.next(simStart, state, weights(nil))
	s.applyOutcome(simStart, &Outcome{Key: task.Key, Refused: true, RetryAfter: time.Second, PriorTokens: []string{"x"}})
	if _, found := s.next(simStart.Add(time.Second-1), state, weights(nil)); found {
		t.Error("item started during the pause after a refusal")
	}
	again, found := s.next(simStart.Add(time.Second), state, weights(nil))
	if !found || again.Key != task.Key || len(again.PriorTokens) != 1 {
		t.Errorf("task after the pause: %+v, want the refused item with one prior token", again)
	}
}

// The scheduler starts no new items once as many items as its concurrency wait
// for a retry.
func TestRetriesAreBounded(t *testing.T) {
	state := jobsState(t, 1000, ledger.JobCommit{Job: "a", Customer: "c"})
	s := newScheduler(4)
	for range 1000 {
		task, found := s.next(simStart, state, weights(nil))
		if !found {
			break
		}
		s.applyOutcome(simStart, &Outcome{Key: task.Key, RetryAfter: time.Hour})
	}
	if len(s.retries) > 4 {
		t.Errorf("%d items wait for a retry, want at most 4 (the concurrency)", len(s.retries))
	}
}
