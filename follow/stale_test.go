package follow

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// staleStore answers reads from a state of some records before.
type staleStore struct {
	Store
	behind int64
}

func (s *staleStore) Read(ctx context.Context, topic platform.Topic, from int64, kilobytes int, wait time.Duration) (platform.Page, error) {
	page, err := s.Store.Read(ctx, topic, from, kilobytes, wait)
	if page.End -= s.behind; page.End < page.Next {
		page.Records, page.Next = nil, from
	}
	return page, err
}

// TestStaleAnswerConfirmsNothing reads from a store that has fallen behind what was read before: its
// answer doesn't say that nothing was written.
func TestStaleAnswerConfirmsNothing(t *testing.T) {
	r := newFixture(t, time.Second)
	r.store.Put(topic.Name, "a", []byte("1"))
	r.store.Put(topic.Name, "b", []byte("2"))
	if err := r.follower.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	before := r.follower.Complete()
	r.follower.opts.Store = &staleStore{Store: r.follower.opts.Store, behind: 1}
	if err := r.follower.Refresh(context.Background()); !errors.Is(err, ErrStale) || r.follower.Complete() != before {
		t.Errorf("refresh: %v, complete %s later", err, r.follower.Complete().Sub(before))
	}
}
