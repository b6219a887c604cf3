package follow

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/platform"
)

// waitingStore is a Store whose topic has one record. Each read waits until its time is over.
type waitingStore struct {
	// down makes calls fail.
	down bool
	// behind is how many records the end of a read is behind what it returns.
	behind int64
}

var errDown = errors.Wrap(platform.ErrUnavailable, "store is down")

func (s *waitingStore) Read(_ context.Context, _ platform.Topic, from int64, _ int, wait time.Duration) (platform.Page, error) {
	if s.down {
		return platform.Page{}, errDown
	}
	time.Sleep(wait)
	return platform.Page{Next: from, End: from + s.behind}, nil
}

func (s *waitingStore) Newest(context.Context, platform.Topic, string) (platform.Snapshot, error) {
	if s.down {
		return platform.Snapshot{}, errDown
	}
	return platform.Snapshot{Records: []platform.KeyedRecord{{Key: "a", Value: []byte("secret")}}, End: 1}, nil
}

func newWaitingFollower(store *waitingStore) *Follower {
	return New(Options{Store: store, Topic: topic, Handler: newMapHandler(), Wait: 20 * time.Millisecond, Logger: log.NewNopLogger(), Keep: true,
		Redact: func(value []byte) []byte { return bytes.ReplaceAll(value, []byte("secret"), []byte("hash")) }})
}

// TestConfirmationsCountFromTheirSending guards against a key that is accepted for longer than its
// bound, because a read is dated by its answer or by the end of its wait.
func TestConfirmationsCountFromTheirSending(t *testing.T) {
	store := &waitingStore{}
	f := newWaitingFollower(store)
	if !f.ConfirmedSent().IsZero() || f.Reachable() {
		t.Fatal("a follower that has read nothing has confirmed something")
	}
	before := clock.Now()
	if err := f.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	listed := f.ConfirmedSent()
	if listed.Before(before) || !f.Reachable() {
		t.Errorf("listed at %s, sent after %s, reachable: %v", listed, before, f.Reachable())
	}
	before = clock.Now()
	if err := f.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	sent, answered := f.ConfirmedSent(), clock.Now()
	if sent.Before(before) || answered.Sub(sent) < f.opts.Wait {
		t.Errorf("the read counts from %s before its answer, it waited %s", answered.Sub(sent), f.opts.Wait)
	}
	if f.Complete().Sub(sent) != f.opts.Wait {
		t.Errorf("the view is complete up to %s after the sending, want the wait of %s", f.Complete().Sub(sent), f.opts.Wait)
	}
}

// TestUnreadRecordsConfirmNothing reads a page that is not the last one, and loses the store.
func TestUnreadRecordsConfirmNothing(t *testing.T) {
	store := &waitingStore{}
	f := newWaitingFollower(store)
	if err := f.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	listed := f.ConfirmedSent()
	store.behind = 1
	if err := f.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	store.down = true
	err := f.step(context.Background())
	if err == nil {
		t.Fatal("a read of a store that is down succeeds")
	}
	f.markUnavailable(err)
	if f.ConfirmedSent() != listed || f.Reachable() {
		t.Errorf("confirmed %s after the listing, reachable: %v", f.ConfirmedSent().Sub(listed), f.Reachable())
	}
}

// TestAnotherHostsViewConfirmsNothing starts a host while the store is away.
func TestAnotherHostsViewConfirmsNothing(t *testing.T) {
	f := newWaitingFollower(&waitingStore{down: true})
	f.opts.Borrow = func(context.Context) ([]platform.KeyedRecord, error) {
		return []platform.KeyedRecord{{Key: "a", Value: []byte("hash")}}, nil
	}
	f.copyFromPeer(context.Background())
	if !f.copiedFromPeer || !f.ConfirmedSent().IsZero() || f.Reachable() {
		t.Errorf("copied: %v, confirmed at %s, reachable: %v", f.copiedFromPeer, f.ConfirmedSent(), f.Reachable())
	}
}

// TestRetainedRecordsAreRedacted guards against secrets in the views that hosts serve to others.
func TestRetainedRecordsAreRedacted(t *testing.T) {
	f := newWaitingFollower(&waitingStore{})
	if err := f.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.applyPage(clock.Now(), 0, platform.Page{Next: 2, End: 2}, []platform.KeyedRecord{{Key: "b", Offset: 1, Value: []byte("a secret")}})
	records, whole := f.Records()
	if !whole || len(records) != 2 || string(records[0].Value) != "hash" || string(records[1].Value) != "a hash" {
		t.Errorf("records %+v, whole: %v", records, whole)
	}
	if got := f.opts.Handler.(*mapHandler).value("b"); got != "a secret" {
		t.Errorf("the handler gets %q, want the record itself", got)
	}
}
