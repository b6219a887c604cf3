package follow

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

const testTimeout = 20 * time.Second

var topic = platform.Topic{Name: "keyed.test"}

// mapHandler is a Handler that stores the newest value of each key.
type mapHandler struct {
	mu     sync.Mutex
	values map[string]string
	// order holds the offsets passed to Changed, in order of the calls.
	order          []int64
	listings       int
	lost, regained int
}

func newMapHandler() *mapHandler { return &mapHandler{values: make(map[string]string)} }

func (h *mapHandler) Listed(_ time.Time, records []platform.KeyedRecord, _ int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listings++
	h.values = make(map[string]string)
	for i := range records {
		h.values[records[i].Key] = string(records[i].Value)
	}
}

func (h *mapHandler) Changed(_ time.Time, records []platform.KeyedRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range records {
		h.order = append(h.order, records[i].Offset)
		h.values[records[i].Key] = string(records[i].Value)
	}
}

func (h *mapHandler) Lost(time.Time)     { h.mu.Lock(); defer h.mu.Unlock(); h.lost++ }
func (h *mapHandler) Regained(time.Time) { h.mu.Lock(); defer h.mu.Unlock(); h.regained++ }

func (h *mapHandler) value(key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values[key]
}

// fixture is a follower with a simulated store and a recording handler.
type fixture struct {
	t        *testing.T
	store    *standin.Store
	handler  *mapHandler
	follower *Follower
}

func newFixture(t *testing.T, wait time.Duration) *fixture {
	t.Helper()
	r := &fixture{t: t, store: standin.NewStore(standin.StoreFaults{}), handler: newMapHandler()}
	server := httptest.NewServer(r.store.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	r.follower = New(Options{
		Store:   platform.NewStore(server.Listener.Addr().String(), platform.StoreOptions{}),
		Topic:   topic,
		Handler: r.handler, Wait: wait, Logger: log.NewNopLogger(),
	})
	return r
}

func (r *fixture) run() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = r.follower.Serve(ctx); close(done) }()
	r.t.Cleanup(func() { cancel(); <-done })
}

func (r *fixture) await(what string, done func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			r.t.Fatalf("timed out waiting: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (r *fixture) awaitValue(key, want string) {
	r.t.Helper()
	r.await(key+" is "+want, func() bool { return r.handler.value(key) == want })
}

func TestFollowsWhatIsWritten(t *testing.T) {
	r := newFixture(t, time.Second)
	r.store.Put(topic.Name, "a", []byte("1"))
	r.run()
	r.awaitValue("a", "1")
	for i := range 50 {
		r.store.Put(topic.Name, "a", fmt.Append(nil, i))
	}
	r.awaitValue("a", "49")
	for i, offset := range r.handler.order {
		if i > 0 && offset != r.handler.order[i-1]+1 {
			t.Fatalf("offset %d after %d", offset, r.handler.order[i-1])
		}
	}
}

// TestRecordsAreReadSoonWhileTheTopicChanges follows a topic whose reads are an hour apart.
// While it changes, they are not.
func TestRecordsAreReadSoonWhileTheTopicChanges(t *testing.T) {
	r := newFixture(t, time.Second)
	r.follower.opts.Pause = time.Hour
	r.follower.opts.Changing = func(time.Time) bool { return true }
	r.run()
	for i := range 5 {
		r.store.Put(topic.Name, "a", fmt.Append(nil, i))
		r.awaitValue("a", fmt.Sprint(i))
	}
}

// TestTrimmedHistory trims records that the follower has not read: it has to list the
// topic again to learn of new and deleted keys.
func TestTrimmedHistory(t *testing.T) {
	r := newFixture(t, 50*time.Millisecond)
	r.store.Put(topic.Name, "a", []byte("1"))
	r.run()
	r.awaitValue("a", "1")
	r.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	r.await("store lost", func() bool { r.handler.mu.Lock(); defer r.handler.mu.Unlock(); return r.handler.lost == 1 })
	r.store.Put(topic.Name, "b", []byte("2"))
	r.store.Put(topic.Name, "a", nil)
	r.store.Trim(standin.TrimRequest{Topic: topic.Name, Before: -1})
	r.store.SetFaults(standin.StoreFaults{})
	r.awaitValue("b", "2")
	r.awaitValue("a", "")
	if r.handler.regained != 1 {
		t.Errorf("regained %d times", r.handler.regained)
	}
}

// TestOutages fails the store's calls in each kind of outage; the follower has to report
// the loss and read on afterwards.
func TestOutages(t *testing.T) {
	for _, outage := range []standin.Outage{standin.OutageBusy, standin.OutageThrottled, standin.OutageReset, standin.OutageSilent} {
		r := newFixture(t, 50*time.Millisecond)
		r.run()
		r.await("listing", func() bool { return !r.follower.Complete().IsZero() })
		r.store.SetFaults(standin.StoreFaults{Outage: outage})
		r.await("store lost", func() bool { r.handler.mu.Lock(); defer r.handler.mu.Unlock(); return r.handler.lost == 1 })
		r.store.SetFaults(standin.StoreFaults{})
		r.store.Put(topic.Name, "a", []byte("back"))
		r.awaitValue("a", "back")
	}
}

// TestRefreshConfirms checks that Refresh makes earlier writes visible even while the
// follower's own long read is still waiting.
func TestRefreshConfirms(t *testing.T) {
	r := newFixture(t, time.Hour)
	if err := r.follower.Refresh(context.Background()); !errors.Is(err, ErrStale) {
		t.Errorf("refresh before the first listing: %v", err)
	}
	r.run()
	r.await("listing", func() bool { return !r.follower.Complete().IsZero() })
	for i := range 20 {
		r.store.Put(topic.Name, "a", fmt.Append(nil, i))
		before := clock.Now()
		if err := r.follower.Refresh(context.Background()); err != nil {
			t.Fatal(err)
		}
		if got := r.handler.value("a"); got != fmt.Sprint(i) || r.follower.Complete().Before(before) {
			t.Errorf("after refresh %d: %q", i, got)
		}
	}
	r.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	if err := r.follower.Refresh(context.Background()); !errors.Is(err, ErrStale) {
		t.Errorf("refresh while the store is unavailable: %v", err)
	}
}

// TestRefreshOfForgottenHistory refreshes after the unread records were trimmed. The read
// only reports the trim, so Refresh must not confirm the view before a new listing. A soak
// test hit this as a batch job that was accepted and then unknown.
func TestRefreshOfForgottenHistory(t *testing.T) {
	r := newFixture(t, time.Second)
	r.store.Put(topic.Name, "a", []byte("1"))
	if err := r.follower.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	r.store.Put(topic.Name, "b", []byte("2"))
	r.store.Trim(standin.TrimRequest{Topic: topic.Name, Before: -1})
	if err := r.follower.Refresh(context.Background()); !errors.Is(err, ErrStale) {
		t.Errorf("refresh: %v, value %q", err, r.handler.value("b"))
	}
	if err := r.follower.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := r.follower.Refresh(context.Background()); err != nil || r.handler.value("b") != "2" {
		t.Errorf("refresh after the listing: %v, value %q", err, r.handler.value("b"))
	}
}

// patientStore is a store whose reads take the time that they need, on a machine that is busy too.
// It keeps where each began.
type patientStore struct {
	Store
	read []int64
}

func (s *patientStore) Read(ctx context.Context, topic platform.Topic, from int64, kilobytes int, wait time.Duration) (platform.Page, error) {
	s.read = append(s.read, from)
	return s.Store.Read(context.WithoutCancel(ctx), topic, from, kilobytes, wait)
}

// TestRefreshReadsAllPages refreshes when the unread records exceed one page.
func TestRefreshReadsAllPages(t *testing.T) {
	r := newFixture(t, time.Second)
	store := &patientStore{Store: r.follower.opts.Store}
	r.follower.opts.Store = store
	if err := r.follower.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	large := make([]byte, 200<<10)
	for i := range 12 {
		r.store.Put(topic.Name, fmt.Sprint(i), large)
	}
	r.store.Put(topic.Name, "last", []byte("2"))
	if err := r.follower.Refresh(context.Background()); err != nil || r.handler.value("last") != "2" {
		t.Errorf("refresh: %v, value %q", err, r.handler.value("last"))
	}
	if len(store.read) < 2 || !slices.IsSorted(store.read) {
		t.Errorf("pages were read from %d", store.read)
	}
}

// TestPictureIsBorrowedUntilTheStoreAnswers starts a follower during an outage of the
// store: it loads another host's cached view, does not offer these records to other hosts,
// and lists the topic after the outage.
func TestPictureIsBorrowedUntilTheStoreAnswers(t *testing.T) {
	r := newFixture(t, 50*time.Millisecond)
	r.follower.opts.Keep = true
	var requests atomic.Int64
	r.follower.opts.Borrow = func(context.Context) ([]platform.KeyedRecord, error) {
		if requests.Add(1) == 1 {
			return nil, ErrStale
		}
		return []platform.KeyedRecord{{Key: "a", Offset: 4, Value: []byte("borrowed")}}, nil
	}
	r.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	r.run()
	r.awaitValue("a", "borrowed")
	if records, listed := r.follower.Records(); listed || len(records) > 0 {
		t.Errorf("offers %d borrowed records to other hosts", len(records))
	}
	if err := r.follower.Refresh(context.Background()); !errors.Is(err, ErrStale) {
		t.Errorf("a borrowed view is confirmed: %v", err)
	}
	r.store.SetFaults(standin.StoreFaults{})
	r.store.Put(topic.Name, "a", []byte("listed"))
	r.awaitValue("a", "listed")
	records, listed := r.follower.Records()
	if !listed || len(records) != 1 || string(records[0].Value) != "listed" {
		t.Errorf("retained records %+v", records)
	}
}

// flakyStore fails every second page of a listing of three.
type flakyStore struct {
	Store
	calls     int
	requested []string
}

func (s *flakyStore) Newest(_ context.Context, _ platform.Topic, after string) (platform.Snapshot, error) {
	s.requested = append(s.requested, after)
	if s.calls++; s.calls%2 == 0 {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	next := map[string]string{"": "a", "a": "b", "b": ""}[after]
	return platform.Snapshot{
		Records: []platform.KeyedRecord{{Key: after + "+", Offset: int64(len(after)), Value: []byte("1")}},
		After:   next, End: int64(10 + s.calls),
	}, nil
}

// TestListingGoesOnAfterAFailure lists from a store that fails every second call, as when
// 300 hosts start together: a listing that restarts after each failure never completes.
func TestListingGoesOnAfterAFailure(t *testing.T) {
	store := &flakyStore{}
	f := New(Options{Store: store, Topic: topic, Handler: newMapHandler(), Logger: log.NewNopLogger()})
	for range 6 {
		if f.step(context.Background()) == nil {
			break
		}
	}
	if f.Complete().IsZero() || f.next != 11 {
		t.Errorf("next offset %d after pages behind %q", f.next, store.requested)
	}
}

// TestPrerequisiteTopicsAreListedFirst starts a follower together with its prerequisite:
// it must not list its topic before the prerequisite is listed.
func TestPrerequisiteTopicsAreListedFirst(t *testing.T) {
	first, second := newFixture(t, 50*time.Millisecond), newFixture(t, 50*time.Millisecond)
	second.follower.opts.After = []*Follower{first.follower}
	first.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	first.run()
	second.run()
	first.await("store of the prerequisite lost", func() bool {
		first.handler.mu.Lock()
		defer first.handler.mu.Unlock()
		return first.handler.lost == 1
	})
	if !second.follower.Complete().IsZero() {
		t.Error("the second topic was listed before its prerequisite")
	}
	first.store.SetFaults(standin.StoreFaults{})
	second.await("second topic listed", func() bool { return !second.follower.Complete().IsZero() })
	if first.follower.Complete().IsZero() {
		t.Error("the second topic was listed before its prerequisite")
	}
}

// stuckStore blocks all listings until it is released.
type stuckStore struct {
	Store
	released chan struct{}
}

func (s *stuckStore) Newest(context.Context, platform.Topic, string) (platform.Snapshot, error) {
	<-s.released
	return platform.Snapshot{}, platform.ErrUnavailable
}

// TestPictureIsBorrowedBesideASilentStore starts a follower whose first call to the store
// hangs: another host's cached view is requested meanwhile.
func TestPictureIsBorrowedBesideASilentStore(t *testing.T) {
	r := newFixture(t, 50*time.Millisecond)
	stuck := &stuckStore{Store: r.follower.opts.Store, released: make(chan struct{})}
	r.follower.opts.Store = stuck
	r.follower.opts.Borrow = func(context.Context) ([]platform.KeyedRecord, error) {
		return []platform.KeyedRecord{{Key: "a", Offset: 4, Value: []byte("borrowed")}}, nil
	}
	r.run()
	t.Cleanup(func() { close(stuck.released) })
	r.awaitValue("a", "borrowed")
}

// sizeLimitedStore returns pages up to a size and fails requests for larger ones.
type sizeLimitedStore struct {
	kilobytes int
	requested []int
}

func (s *sizeLimitedStore) Read(_ context.Context, _ platform.Topic, from int64, kilobytes int, _ time.Duration) (platform.Page, error) {
	s.requested = append(s.requested, kilobytes)
	if kilobytes > s.kilobytes {
		return platform.Page{}, platform.ErrUnavailable
	}
	return platform.Page{Next: from + 1, End: from + 2, Records: []platform.Record{{Offset: from, Data: []byte("\x01kv")}}}, nil
}

func (s *sizeLimitedStore) Newest(context.Context, platform.Topic, string) (platform.Snapshot, error) {
	return platform.Snapshot{}, nil
}

// TestPageSizeShrinksAfterTimeouts reads from a store whose bandwidth is shared by many
// hosts. On the enlarged ajloun deployment, pages of 1 MiB timed out, all hosts requested
// them again at the same size, and none ever caught up.
func TestPageSizeShrinksAfterTimeouts(t *testing.T) {
	store := &sizeLimitedStore{kilobytes: 100}
	f := New(Options{Store: store, Topic: topic, Handler: newMapHandler(), Logger: log.NewNopLogger()})
	for range 8 {
		// Reads of large pages are expected to fail.
		_ = f.step(context.Background())
	}
	if f.next == 0 {
		t.Errorf("no record was read, with pages of %v KiB", store.requested)
	}
	store.kilobytes = platform.PageKilobytes
	for range 8 {
		if err := f.step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if got := store.requested[len(store.requested)-1]; got != platform.PageKilobytes {
		t.Errorf("pages are still of %d KiB", got)
	}
}
