package batch

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
)

// unavailableStore is a store that fails each call.
type unavailableStore struct{}

func (unavailableStore) Append(context.Context, platform.Topic, [][]byte) (int64, error) {
	return 0, platform.ErrUnavailable
}

func (unavailableStore) Read(context.Context, platform.Topic, int64, int, time.Duration) (platform.Page, error) {
	return platform.Page{}, platform.ErrUnavailable
}

func (unavailableStore) Newest(context.Context, platform.Topic, string) (platform.Snapshot, error) {
	return platform.Snapshot{}, platform.ErrUnavailable
}

// fakeScheduler records the items that were added and not dropped.
type fakeScheduler map[scheduler.ItemRef]scheduler.Item

func (s fakeScheduler) AddItem(i scheduler.Item) { s[i.Ref] = i }
func (s fakeScheduler) Progress(ref scheduler.ItemRef, tokens int, _ string) {
	if i, found := s[ref]; found {
		i.TokensDone = tokens
		s[ref] = i
	}
}
func (s fakeScheduler) DropItem(ref scheduler.ItemRef) { delete(s, ref) }
func testConfiguration() *route.Configuration {
	c := &route.Configuration{Version: 1, Routes: []route.Route{{
		Name: "lots", Host: "h", Prefix: "/lots-in/", Kind: route.Batch,
		Backends: []route.Backend{{Service: "engine", Weight: 1}}, MaxAttempts: 3,
		Window: 18 * time.Second, Retention: time.Minute,
	}}}
	c.Index()
	return c
}

func newTestLedger() (*Ledger, fakeScheduler) {
	items := make(fakeScheduler)
	return NewLedger(Options{
		Writer: "w", Host: "self", Store: unavailableStore{}, Scheduler: items, Logger: log.NewNopLogger(),
		Configuration: testConfiguration,
	}), items
}

// encodeKeyed returns a record in the form in which the store returns it.
func encodeKeyed(t *testing.T, offset int64, key string, r *jobs.Record) platform.KeyedRecord {
	t.Helper()
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return platform.KeyedRecord{Offset: offset, Key: key, Value: value}
}

// TestListingOfSeveralMoments lists a ledger while a job runs. The page with one of its
// results is read after the result was written; the page that should hold its
// submission was read before the submission. No result may be lost.
func TestListingOfSeveralMoments(t *testing.T) {
	l, items := newTestLedger()
	submit := encodeKeyed(t, 4, "submit/j", &jobs.Record{Job: "j", Submit: &jobs.Submission{
		Attempt: "a", Items: []jobs.ItemMeta{{ID: "i"}, {ID: "k"}}, Host: "h", Path: "/lots-in/j", Route: "lots", WindowMillis: 18000,
	}})
	result := encodeKeyed(t, 5, "result/j", &jobs.Record{Job: "j", Result: &jobs.Result{Item: 1}})
	const end = 4
	l.Listed(time.Time{}, []platform.KeyedRecord{result}, end)
	l.Changed(time.Time{}, []platform.KeyedRecord{submit, result})
	job := l.state.Job("j")
	if job == nil {
		t.Fatal("the job is missing from the ledger view")
	}
	if len(items) != 1 || len(job.Results) != 1 {
		t.Errorf("%d items are scheduled and %d have results, want 1 and 1", len(items), len(job.Results))
	}
}

// lostResponseStore carries out all appends, but loses the responses of the first ones.
type lostResponseStore struct {
	unavailableStore
	lostResponses int
	records       []platform.Record
}

func (s *lostResponseStore) Append(_ context.Context, _ platform.Topic, records [][]byte) (int64, error) {
	first := int64(len(s.records))
	for _, r := range records {
		s.records = append(s.records, platform.Record{Offset: int64(len(s.records)), Data: r})
	}
	if s.lostResponses--; s.lostResponses >= 0 {
		return 0, platform.ErrUnavailable
	}
	return first, nil
}

// TestCopiesHaveKeysOfTheirOwn writes a result and loses the response to the first
// attempt. For hosts that list the ledger, the store keeps only the newest record of
// each key. They must see the copy that hosts following the ledger have applied, so
// each copy needs its own key.
func TestCopiesHaveKeysOfTheirOwn(t *testing.T) {
	store := &lostResponseStore{lostResponses: 1}
	l := NewLedger(Options{Writer: "w", Store: store, Logger: log.NewNopLogger(), Configuration: testConfiguration})
	if err := l.Write(context.Background(), "result", &jobs.Record{Job: "j", Result: &jobs.Result{}}); err != nil {
		t.Fatal(err)
	}
	keys := make(map[string]bool)
	for _, r := range store.records {
		k, err := platform.DecodeKeyed(r)
		if err != nil {
			t.Fatal(err)
		}
		keys[k.Key] = true
	}
	if len(store.records) != 2 || len(keys) != 2 {
		t.Errorf("%d records under %d keys, want 2 and 2", len(store.records), len(keys))
	}
}

// scriptedStore answers each append with the next error of a list.
type scriptedStore struct {
	unavailableStore
	errs []error
}

func (s *scriptedStore) Append(context.Context, platform.Topic, [][]byte) (int64, error) {
	err := s.errs[0]
	s.errs = s.errs[1:]
	return 0, err
}

// TestRejectedAppendAfterAnUnansweredOne guards against a job that is refused as not run, and runs: a
// store that rejects an append says nothing of an earlier one that it didn't answer.
func TestRejectedAppendAfterAnUnansweredOne(t *testing.T) {
	for _, c := range []struct {
		errs []error
		want error
	}{
		{[]error{platform.ErrRejected}, ErrNotWritten},
		{[]error{platform.ErrThrottled, platform.ErrRejected}, ErrNotWritten},
		{[]error{platform.ErrUnavailable, platform.ErrRejected}, ErrOutcomeUnknown},
		{[]error{platform.ErrUnavailable, platform.ErrThrottled, platform.ErrRejected}, ErrOutcomeUnknown},
	} {
		store := &scriptedStore{errs: c.errs}
		l := NewLedger(Options{Writer: "w", Store: store, Logger: log.NewNopLogger(), Configuration: testConfiguration})
		if err := l.Write(context.Background(), "cancel", &jobs.Record{Job: "j", Cancel: &jobs.Cancel{}}); !errors.Is(err, c.want) {
			t.Errorf("after %v: %v, want %v", c.errs, err, c.want)
		}
	}
}
