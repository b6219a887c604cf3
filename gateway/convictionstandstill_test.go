package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/startup"
)

// TestExpiryAfterAStandstillEndsNoLaterConviction has a host stand still while a conviction ends and the same
// requests are convicted again by others. When it goes on, the first one is over by its list, which must not
// delete the second one in the store: all hosts would let the requests pass again.
func TestExpiryAfterAStandstillEndsNoLaterConviction(t *testing.T) {
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	address, ctx := server.Listener.Addr().String(), context.Background()
	keys := blame.NewCombination("request:r")
	other := startConvictionHost(t, address, true)
	defer other.stop()
	other.list.Add(time.Now(), blame.Conviction{Keys: keys, Left: time.Hour})

	still := &convictionHost{convictions: newConvictions(log.NewNopLogger())}
	still.started = &starting{
		gate: startup.NewGate(), configuration: &configuration{}, endpoints: &endpoints{}, convictions: still.convictions,
	}
	store := platform.NewStore(address, platform.StoreOptions{})
	still.writer = store
	still.feed = follow.New(follow.Options{Store: store, Topic: platform.TopicConvictions, Handler: still.convictions, Logger: log.NewNopLogger()})
	still.confirm = still.feed.Refresh
	feeding, stop := context.WithCancel(ctx)
	fed := make(chan struct{})
	go func() { _ = still.feed.Serve(feeding); close(fed) }()
	still.await(t, "the host that will stand still", "request:r;")
	stop()
	<-fed

	// The others see the conviction end and make it again.
	for _, value := range [][]byte{nil, []byte(`{"keys":["request:r"]}`)} {
		if _, err := store.Append(ctx, platform.TopicConvictions, [][]byte{platform.EncodeKeyed(storeKey(keys), value)}); err != nil {
			t.Fatal(err)
		}
	}
	other.await(t, "the others", "request:r;")
	still.list.Remove(keys)
	still.list.Add(time.Now(), blame.Conviction{Keys: keys, Left: time.Nanosecond})
	time.Sleep(time.Millisecond)
	still.expire(ctx)
	records, err := platform.ListAll(ctx, store, platform.TopicConvictions)
	if err != nil || len(records) != 1 || records[0].Deletes() {
		t.Errorf("the store holds %+v, error %v, want the second conviction", records, err)
	}
	if len(still.list.All(time.Now())) != 1 {
		t.Error("the host that goes on does not know the second conviction")
	}
}
