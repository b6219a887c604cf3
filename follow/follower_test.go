package follow

import (
	"context"
	"fmt"
	"net/http/httptest"
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

const patience = 20 * time.Second

var topic = platform.Topic{Name: "keyed.test"}

// picture is a Handler that keeps the newest value of each key.
type picture struct {
	mu     sync.Mutex
	values map[string]string
	// order lists the offsets that were handed over, listings apart.
	order          []int64
	listings       int
	lost, regained int
}

func newPicture() *picture { return &picture{values: make(map[string]string)} }

func (p *picture) Listed(_ time.Time, records []platform.KeyedRecord, _ int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listings++
	p.values = make(map[string]string)
	for i := range records {
		p.values[records[i].Key] = string(records[i].Value)
	}
}

func (p *picture) Changed(_ time.Time, records []platform.KeyedRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range records {
		p.order = append(p.order, records[i].Offset)
		p.values[records[i].Key] = string(records[i].Value)
	}
}

func (p *picture) Lost(time.Time)     { p.mu.Lock(); defer p.mu.Unlock(); p.lost++ }
func (p *picture) Regained(time.Time) { p.mu.Lock(); defer p.mu.Unlock(); p.regained++ }

func (p *picture) value(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key]
}

// rig is a follower of a played store.
type rig struct {
	t        *testing.T
	store    *standin.Store
	picture  *picture
	follower *Follower
}

func newRig(t *testing.T, wait time.Duration) *rig {
	t.Helper()
	r := &rig{t: t, store: standin.NewStore(standin.StoreFaults{}), picture: newPicture()}
	server := httptest.NewServer(r.store.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	r.follower = New(Options{
		Store:   platform.NewStore(server.Listener.Addr().String(), platform.StoreOptions{}),
		Topic:   topic,
		Handler: r.picture, Wait: wait, Logger: log.NewNopLogger(),
	})
	return r
}

func (r *rig) run() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = r.follower.Serve(ctx); close(done) }()
	r.t.Cleanup(func() { cancel(); <-done })
}

func (r *rig) await(what string, done func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(patience)
	for !done() {
		if time.Now().After(deadline) {
			r.t.Fatalf("gave up waiting: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (r *rig) awaitValue(key, want string) {
	r.t.Helper()
	r.await(key+" is "+want, func() bool { return r.picture.value(key) == want })
}

func TestFollowsWhatIsWritten(t *testing.T) {
	r := newRig(t, time.Second)
	r.store.Put(topic.Name, "a", []byte("1"))
	r.run()
	r.awaitValue("a", "1")
	for i := range 50 {
		r.store.Put(topic.Name, "a", fmt.Append(nil, i))
	}
	r.awaitValue("a", "49")
	for i, offset := range r.picture.order {
		if i > 0 && offset != r.picture.order[i-1]+1 {
			t.Fatalf("offset %d after %d", offset, r.picture.order[i-1])
		}
	}
}

// TestForgottenHistory drops the records that the follower has not read.
func TestForgottenHistory(t *testing.T) {
	r := newRig(t, 50*time.Millisecond)
	r.store.Put(topic.Name, "a", []byte("1"))
	r.run()
	r.awaitValue("a", "1")
	r.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	r.await("store lost", func() bool { r.picture.mu.Lock(); defer r.picture.mu.Unlock(); return r.picture.lost == 1 })
	r.store.Put(topic.Name, "b", []byte("2"))
	r.store.Put(topic.Name, "a", nil)
	r.store.Trim(standin.TrimRequest{Topic: topic.Name, Before: -1})
	r.store.SetFaults(standin.StoreFaults{})
	r.awaitValue("b", "2")
	r.awaitValue("a", "")
	if r.picture.regained != 1 {
		t.Errorf("regained %d times", r.picture.regained)
	}
}

// TestOutages turns calls away in each way that the store has.
func TestOutages(t *testing.T) {
	for _, outage := range []standin.Outage{standin.OutageBusy, standin.OutageThrottled, standin.OutageReset, standin.OutageSilent} {
		r := newRig(t, 50*time.Millisecond)
		r.run()
		r.await("listing", func() bool { return !r.follower.Complete().IsZero() })
		r.store.SetFaults(standin.StoreFaults{Outage: outage})
		r.await("store lost", func() bool { r.picture.mu.Lock(); defer r.picture.mu.Unlock(); return r.picture.lost == 1 })
		r.store.SetFaults(standin.StoreFaults{})
		r.store.Put(topic.Name, "a", []byte("back"))
		r.awaitValue("a", "back")
	}
}

// TestRefreshConfirms writes and refreshes: what was written before is known after,
// though the follower's own read waits still.
func TestRefreshConfirms(t *testing.T) {
	r := newRig(t, time.Hour)
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
		if got := r.picture.value("a"); got != fmt.Sprint(i) || r.follower.Complete().Before(before) {
			t.Errorf("after refresh %d: %q", i, got)
		}
	}
	r.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	if err := r.follower.Refresh(context.Background()); !errors.Is(err, ErrStale) {
		t.Errorf("refresh without a store: %v", err)
	}
}

// TestRefreshOfForgottenHistory refreshes when the records to read are gone: the
// read shows that, and nothing of what they said. The soak found it, as a batch job
// that was accepted and then not known.
func TestRefreshOfForgottenHistory(t *testing.T) {
	r := newRig(t, time.Second)
	r.store.Put(topic.Name, "a", []byte("1"))
	if err := r.follower.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	r.store.Put(topic.Name, "b", []byte("2"))
	r.store.Trim(standin.TrimRequest{Topic: topic.Name, Before: -1})
	if err := r.follower.Refresh(context.Background()); !errors.Is(err, ErrStale) {
		t.Errorf("refresh: %v, value %q", err, r.picture.value("b"))
	}
	if err := r.follower.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := r.follower.Refresh(context.Background()); err != nil || r.picture.value("b") != "2" {
		t.Errorf("refresh after the listing: %v, value %q", err, r.picture.value("b"))
	}
}

// TestRefreshReadsAllPages refreshes over more than one page holds.
func TestRefreshReadsAllPages(t *testing.T) {
	r := newRig(t, time.Second)
	if err := r.follower.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	large := make([]byte, 200<<10)
	for i := range 12 {
		r.store.Put(topic.Name, fmt.Sprint(i), large)
	}
	r.store.Put(topic.Name, "last", []byte("2"))
	if err := r.follower.Refresh(context.Background()); err != nil || r.picture.value("last") != "2" {
		t.Errorf("refresh: %v, value %q", err, r.picture.value("last"))
	}
}

// TestPictureIsBorrowedUntilTheStoreAnswers starts a follower in an outage: it takes
// what another has read, gives none of that on, and lists the topic after the outage.
func TestPictureIsBorrowedUntilTheStoreAnswers(t *testing.T) {
	r := newRig(t, 50*time.Millisecond)
	r.follower.opts.Keep = true
	var asked atomic.Int64
	r.follower.opts.Borrow = func(context.Context) ([]platform.KeyedRecord, error) {
		if asked.Add(1) == 1 {
			return nil, ErrStale
		}
		return []platform.KeyedRecord{{Key: "a", Offset: 4, Value: []byte("borrowed")}}, nil
	}
	r.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	r.run()
	r.awaitValue("a", "borrowed")
	if records, whole := r.follower.Records(); whole || len(records) > 0 {
		t.Errorf("gives %d borrowed records on", len(records))
	}
	if err := r.follower.Refresh(context.Background()); !errors.Is(err, ErrStale) {
		t.Errorf("a borrowed picture is confirmed: %v", err)
	}
	r.store.SetFaults(standin.StoreFaults{})
	r.store.Put(topic.Name, "a", []byte("listed"))
	r.awaitValue("a", "listed")
	records, whole := r.follower.Records()
	if !whole || len(records) != 1 || string(records[0].Value) != "listed" {
		t.Errorf("keeps %+v", records)
	}
}

// brokenStore fails every second page of a listing of three.
type brokenStore struct {
	Store
	calls int
	asked []string
}

func (s *brokenStore) Newest(_ context.Context, _ platform.Topic, after string) (platform.Snapshot, error) {
	s.asked = append(s.asked, after)
	if s.calls++; s.calls%2 == 0 {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	next := map[string]string{"": "a", "a": "b", "b": ""}[after]
	return platform.Snapshot{
		Records: []platform.KeyedRecord{{Key: after + "+", Offset: int64(len(after)), Value: []byte("1")}},
		After:   next, End: int64(10 + s.calls),
	}, nil
}

// TestListingGoesOnAfterAFailure lists from a store that fails each second call, as
// when three hundred hosts start together: begun anew each time, no listing ends.
func TestListingGoesOnAfterAFailure(t *testing.T) {
	store := &brokenStore{}
	f := New(Options{Store: store, Topic: topic, Handler: newPicture(), Logger: log.NewNopLogger()})
	for range 6 {
		if f.step(context.Background()) == nil {
			break
		}
	}
	if f.Complete().IsZero() || f.next != 11 {
		t.Errorf("next offset %d after pages behind %q", f.next, store.asked)
	}
}

// TestUrgentTopicsAreListedFirst starts a follower beside one that its topic comes
// after: it asks for nothing until that one is done.
func TestUrgentTopicsAreListedFirst(t *testing.T) {
	urgent, large := newRig(t, 50*time.Millisecond), newRig(t, 50*time.Millisecond)
	large.follower.opts.After = []*Follower{urgent.follower}
	urgent.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	urgent.run()
	large.run()
	urgent.await("urgent store lost", func() bool {
		urgent.picture.mu.Lock()
		defer urgent.picture.mu.Unlock()
		return urgent.picture.lost == 1
	})
	if !large.follower.Complete().IsZero() {
		t.Error("the large topic was listed first")
	}
	urgent.store.SetFaults(standin.StoreFaults{})
	large.await("large topic listed", func() bool { return !large.follower.Complete().IsZero() })
	if urgent.follower.Complete().IsZero() {
		t.Error("the large topic was listed first")
	}
}

// stuckStore answers no listing until it is released.
type stuckStore struct {
	Store
	released chan struct{}
}

func (s *stuckStore) Newest(context.Context, platform.Topic, string) (platform.Snapshot, error) {
	<-s.released
	return platform.Snapshot{}, platform.ErrUnavailable
}

// TestPictureIsBorrowedBesideASilentStore starts a follower whose first call gets no
// answer: others are asked meanwhile.
func TestPictureIsBorrowedBesideASilentStore(t *testing.T) {
	r := newRig(t, 50*time.Millisecond)
	stuck := &stuckStore{Store: r.follower.opts.Store, released: make(chan struct{})}
	r.follower.opts.Store = stuck
	r.follower.opts.Borrow = func(context.Context) ([]platform.KeyedRecord, error) {
		return []platform.KeyedRecord{{Key: "a", Offset: 4, Value: []byte("borrowed")}}, nil
	}
	r.run()
	t.Cleanup(func() { close(stuck.released) })
	r.awaitValue("a", "borrowed")
}

// narrowStore sends pages up to a size in time, and larger ones never.
type narrowStore struct {
	kilobytes int
	asked     []int
}

func (s *narrowStore) Read(_ context.Context, _ platform.Topic, from int64, kilobytes int, _ time.Duration) (platform.Page, error) {
	s.asked = append(s.asked, kilobytes)
	if kilobytes > s.kilobytes {
		return platform.Page{}, platform.ErrUnavailable
	}
	return platform.Page{Next: from + 1, End: from + 2, Records: []platform.Record{{Offset: from, Data: []byte("\x01kv")}}}, nil
}

func (s *narrowStore) Newest(context.Context, platform.Topic, string) (platform.Snapshot, error) {
	return platform.Snapshot{}, nil
}

// TestPagesThatComeTooLateGetSmaller reads from a store that many others read from
// too: on the grown ajloun deployment pages of 1 MiB came too late, were asked for
// again at that size by all hosts, and none ever caught up.
func TestPagesThatComeTooLateGetSmaller(t *testing.T) {
	store := &narrowStore{kilobytes: 100}
	f := New(Options{Store: store, Topic: topic, Handler: newPicture(), Logger: log.NewNopLogger()})
	for range 8 {
		// A read that fails is what the test is about.
		_ = f.step(context.Background())
	}
	if f.next == 0 {
		t.Errorf("nothing was read, with pages of %v KiB", store.asked)
	}
	store.kilobytes = platform.PageKilobytes
	for range 8 {
		if err := f.step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if got := store.asked[len(store.asked)-1]; got != platform.PageKilobytes {
		t.Errorf("pages are still of %d KiB", got)
	}
}
