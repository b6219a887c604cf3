package keeper

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/keeper/core"
	"github.com/peridotmount/peridotmount/ledger"
	"github.com/peridotmount/peridotmount/objects"
)

// dispatchEnd is the result of a failed dispatch: the tokens received before the
// error.
type dispatchEnd struct {
	tokens []string
	err    error
}

// outcomeOf returns the outcome of a task whose dispatch failed as given by end, after
// the given number of counted attempts. The limit is three attempts.
func outcomeOf(idempotent bool, attempts int, prior []string, end dispatchEnd) core.Outcome {
	t := &task{
		Task:      core.Task{Key: core.ItemKey{Job: "j", Index: 3}, Attempts: attempts, PriorTokens: prior},
		partition: &Partition{opts: Options{MaxItemAttempts: 3}},
	}
	call := &dispatch.Call{Service: &objects.Service{Idempotent: idempotent}}
	return t.dispatchFailed(&ledger.Item{CustomID: "i"}, call, append(append([]string(nil), prior...), end.tokens...), end.err)
}

func failure(cause error, state dispatch.RunState) error {
	return &dispatch.Error{Cause: cause, RunState: state}
}

func TestRefusalsAreNoTries(t *testing.T) {
	for name, err := range map[string]error{
		"no endpoint": failure(dispatch.ErrNoEndpoint, dispatch.NotRun),
		"overloaded":  failure(dispatch.ErrOverloaded, dispatch.Unknown),
	} {
		o := outcomeOf(true, 2, nil, dispatchEnd{err: err})
		if o.Done != nil || o.UsedAttempt || !o.Refused || o.RetryAfter < refusedBackoff {
			t.Errorf("%s: %+v", name, o)
		}
	}
}

func TestRevokedItemKeepsItsTokens(t *testing.T) {
	o := outcomeOf(true, 2, []string{"a"}, dispatchEnd{tokens: []string{"b"}, err: failure(dispatch.ErrRevoked, dispatch.Unknown)})
	if o.Done != nil || o.UsedAttempt || o.Refused || strings.Join(o.PriorTokens, "") != "ab" {
		t.Errorf("%+v", o)
	}
}

func TestTriesAreBounded(t *testing.T) {
	err := failure(dispatch.ErrNoEndpoint, dispatch.Unknown)
	if o := outcomeOf(true, 1, nil, dispatchEnd{err: err}); o.Done != nil || !o.UsedAttempt {
		t.Errorf("second attempt: %+v", o)
	}
	o := outcomeOf(true, 2, nil, dispatchEnd{err: err})
	if o.Done == nil || !o.Done.Failed || !strings.Contains(string(o.Done.Body), codeAttemptsExhausted) {
		t.Errorf("third attempt: %+v", o)
	}
}

// For a run that resumes from prior tokens and produces none, a refusal can't be
// distinguished from a failure. The attempt is not counted, but the next one
// starts without tokens, so that its failure is counted.
func TestFailureWithoutProgressDropsTokens(t *testing.T) {
	o := outcomeOf(true, 2, []string{"a"}, dispatchEnd{err: failure(dispatch.ErrNoEndpoint, dispatch.Unknown)})
	if o.Done != nil || o.UsedAttempt || o.PriorTokens != nil {
		t.Errorf("%+v", o)
	}
}

func TestNonIdempotentItemEndsWhenInterrupted(t *testing.T) {
	o := outcomeOf(false, 0, nil, dispatchEnd{err: failure(dispatch.ErrInterrupted, dispatch.Unknown)})
	if o.Done == nil || !o.Done.Failed || !strings.Contains(string(o.Done.Body), codeInterrupted) {
		t.Errorf("%+v", o)
	}
}

// An item under which endpoints died, or that a guard refuses, is still owed: however many
// attempts it had, it keeps its tokens and is run again after a pause.
func TestItemUnderWhichEndpointsDiedIsStillOwed(t *testing.T) {
	died := &dispatch.Error{Cause: dispatch.ErrNoEndpoint, RunState: dispatch.Unknown, EndpointDied: true}
	for attempts := range 10 {
		o := outcomeOf(true, attempts, []string{"a"}, dispatchEnd{tokens: []string{"b"}, err: died})
		if o.Done != nil || o.UsedAttempt || o.RetryAfter < crashBackoff || strings.Join(o.PriorTokens, "") != "ab" {
			t.Errorf("endpoint died, attempt %d: %+v", attempts, o)
		}
		o = outcomeOf(true, attempts, nil, dispatchEnd{err: failure(dispatch.ErrQuarantined, dispatch.NotRun)})
		if o.Done != nil || o.UsedAttempt || !o.Refused || o.RetryAfter < refusedBackoff {
			t.Errorf("quarantined, attempt %d: %+v", attempts, o)
		}
	}
}

// An item that may run only once ends if an endpoint died under it.
func TestNonIdempotentItemEndsWhenItsEndpointDied(t *testing.T) {
	died := &dispatch.Error{Cause: dispatch.ErrInterrupted, RunState: dispatch.Unknown, EndpointDied: true}
	o := outcomeOf(false, 0, nil, dispatchEnd{err: died})
	if o.Done == nil || !o.Done.Failed || !strings.Contains(string(o.Done.Body), codeInterrupted) {
		t.Fatalf("%+v", o)
	}
	var line OutputLine
	if err := json.Unmarshal(o.Done.Body, &line); err != nil || line.CustomID != "i" || line.ID != "j.3" {
		t.Errorf("line %+v, error %v", line, err)
	}
}

func TestLostRequestEndsAfterTries(t *testing.T) {
	run := &task{partition: &Partition{opts: Options{MaxItemAttempts: 2}}}
	if o := run.loadFailed(errors.Wrap(ErrTrimmed, "record 4")); !o.UsedAttempt || o.Done != nil {
		t.Errorf("first attempt: %+v", o)
	}
	run.Attempts = 1
	if o := run.loadFailed(errors.Wrap(ErrTrimmed, "record 4")); o.Done == nil || !o.Done.Failed {
		t.Errorf("second attempt: %+v", o)
	}
	if o := run.loadFailed(ErrUnavailable); o.UsedAttempt || o.Done != nil || o.RetryAfter == 0 {
		t.Errorf("log unavailable: %+v", o)
	}
}

// Concurrent requests for a record share one read; a failed read is not cached.
func TestRecordCacheSharesReads(t *testing.T) {
	reads := 0
	started, gate := make(chan struct{}), make(chan struct{})
	fail := true
	c := newRecordCache(func(context.Context, int64) (*ledger.Record, error) {
		if fail {
			return nil, ErrUnavailable
		}
		reads++
		close(started)
		<-gate
		return &ledger.Record{}, nil
	})
	if _, err := c.get(context.Background(), 5); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("error %v", err)
	}
	fail = false
	results := make(chan error, 3)
	get := func() {
		_, err := c.get(context.Background(), 5)
		results <- err
	}
	go get()
	<-started
	go get()
	go get()
	close(gate)
	for range 3 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if reads != 1 {
		t.Errorf("%d reads of one record", reads)
	}
}
