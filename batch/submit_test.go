package batch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin"
)

// instrumentedStore counts appends by topic. While blockReads is set, its reads block
// until their context ends.
type instrumentedStore struct {
	Store
	payloads, records atomic.Int64
	blockReads        atomic.Bool
}

func (s *instrumentedStore) Append(ctx context.Context, topic platform.Topic, records [][]byte) (int64, error) {
	if topic == platform.TopicPayloads {
		s.payloads.Add(1)
	} else {
		s.records.Add(1)
	}
	return s.Store.Append(ctx, topic, records)
}

func (s *instrumentedStore) Read(ctx context.Context, topic platform.Topic, from int64, kilobytes int, wait time.Duration) (platform.Page, error) {
	if s.blockReads.Load() {
		<-ctx.Done()
		return platform.Page{}, ctx.Err()
	}
	return s.Store.Read(ctx, topic, from, kilobytes, wait)
}

// newInstrumentedLedger returns a ledger that follows a store, the store, its address,
// and the engine that runs the items.
func newInstrumentedLedger(t *testing.T) (*Ledger, *instrumentedStore, string, *standin.Replica) {
	t.Helper()
	address, replica := startStoreAndEngine(t, 3)
	l := newStoredLedger("host", address, replica)
	store := &instrumentedStore{Store: l.opts.Store}
	l.opts.Store = store
	t.Cleanup(followLedger(t, l))
	return l, store, address, replica
}

// TestSubmissionIsDecidedByItsAppend lets the store respond to appends but not to
// reads. A submission must get its verdict from its own append if no unread record
// precedes it. A repeated submission must get its verdict too.
func TestSubmissionIsDecidedByItsAppend(t *testing.T) {
	l, store, _, _ := newInstrumentedLedger(t)
	store.blockReads.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}}
	for _, want := range []jobs.Verdict{jobs.Accepted, jobs.Repeated} {
		if v, err := l.Submit(ctx, "j", "h", "/lots-in/j", items); err != nil || v != want {
			t.Errorf("verdict %v, error %v", v, err)
		}
	}
	store.blockReads.Store(false)
	if err := l.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if job := l.state.Job("j"); job == nil || job.Open() != 1 {
		t.Errorf("job %+v after its record was read back", job)
	}
}

// TestSubmissionAfterUnreadRecordIsReadBack submits a job after another host appended a
// record that the ledger has not read. The verdict must come from reading the records
// in order.
func TestSubmissionAfterUnreadRecordIsReadBack(t *testing.T) {
	l, store, address, replica := newInstrumentedLedger(t)
	other := newStoredLedger("other", address, replica)
	t.Cleanup(followLedger(t, other))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}}
	store.blockReads.Store(true)
	if v, err := other.Submit(ctx, "j", "h", "/lots-in/j", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	settled := make(chan jobs.Verdict, 1)
	go func() {
		if v, err := l.Submit(ctx, "j", "h", "/lots-in/j", items); err == nil {
			settled <- v
		}
	}()
	for store.records.Load() == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	store.blockReads.Store(false)
	select {
	case v := <-settled:
		if v != jobs.Repeated {
			t.Errorf("got verdict %v, want Repeated, as another host accepted the job before", v)
		}
	case <-ctx.Done():
		t.Error("the submission got no verdict in time")
	}
}

// TestSlowStoreInlinesInputs has appends take 240 ms. A submission must be a single
// append, and another host must be able to run the item from it.
func TestSlowStoreInlinesInputs(t *testing.T) {
	l, store, address, replica := newInstrumentedLedger(t)
	l.opts.AppendTime = func() time.Duration { return 240 * time.Millisecond }
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 3, Body: []byte("the body")}}
	if v, err := l.Submit(ctx, "j", "h", "/lots-in/j", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	if p, r := store.payloads.Load(), store.records.Load(); p != 0 || r != 1 {
		t.Errorf("%d payload appends and %d record appends, want 0 and 1", p, r)
	}
	other := newStoredLedger("other", address, replica)
	t.Cleanup(followLedger(t, other))
	if use := runItem(ctx, t, other); use.Outcome != scheduler.Finished || replica.Runs()[0].Body != "the body" {
		t.Errorf("slot released with %+v, run %+v", use, replica.Runs())
	}
}

// TestShouldInline checks in which cases inputs are inlined in the submission.
func TestShouldInline(t *testing.T) {
	for _, c := range []struct {
		name              string
		append, objective time.Duration
		size, hosts       int
		want              bool
	}{
		{"few hosts", 6 * time.Millisecond, 400 * time.Millisecond, 20 << 10, 9, false},
		{"usual store, tens of hosts", 6 * time.Millisecond, 800 * time.Millisecond, 20 << 10, 82, false},
		{"slow store", 240 * time.Millisecond, 400 * time.Millisecond, 15 << 10, 9, true},
		{"slow store, long objective", 240 * time.Millisecond, 1200 * time.Millisecond, 15 << 10, 86, false},
		{"slow store, tens of hosts", 240 * time.Millisecond, 800 * time.Millisecond, 15 << 10, 82, true},
		{"slow store, large inputs", 240 * time.Millisecond, 400 * time.Millisecond, 260 << 10, 9, false},
		{"slow store, hundreds of hosts", 240 * time.Millisecond, 400 * time.Millisecond, 15 << 10, 295, false},
	} {
		if got := shouldInline(c.append, c.objective, c.size, c.hosts); got != c.want {
			t.Errorf("%s: inlined %t", c.name, got)
		}
	}
}

// TestRepeatOutlastsTheConfiguration hands a job in again after its route was dropped, and after
// the limit of bodies was lowered below its size.
func TestRepeatOutlastsTheConfiguration(t *testing.T) {
	l, _, _, _ := newInstrumentedLedger(t)
	api := NewAPI(l)
	submit := func() int {
		r := httptest.NewRequest(http.MethodPost, "http://h/lots-in/j", strings.NewReader(
			`{"items":[{"id":"i","path":"/lots-in/run","headers":{},"body":"cQ==","tokens":3}]}`))
		r.Header.Set("X-Request-Id", "j")
		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)
		return w.Code
	}
	if status := submit(); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	config := l.opts.Configuration
	l.opts.Configuration = func() *route.Configuration { return &route.Configuration{Version: 2} }
	if status := submit(); status != http.StatusAccepted {
		t.Errorf("without its route: status %d", status)
	}
	l.opts.Configuration = func() *route.Configuration {
		c := config()
		c.Limits.BodyBytes = 8
		return c
	}
	if status := submit(); status != http.StatusAccepted {
		t.Errorf("beyond the limit of bodies: status %d", status)
	}
}

// TestReadThatIsEndedHasNoEmptyResult ends a read of results while it waits for the store: other
// hosts may have results that this one has not read.
func TestReadThatIsEndedHasNoEmptyResult(t *testing.T) {
	l, _, _, _ := newInstrumentedLedger(t)
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}}
	if v, err := l.Submit(t.Context(), "j", "h", "/lots-in/j", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := httptest.NewRequest(http.MethodGet, "http://h/lots/j", http.NoBody).WithContext(ctx)
	r.Header.Set("X-Wait-Ms", "1000")
	w := httptest.NewRecorder()
	NewAPI(l).ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
}
