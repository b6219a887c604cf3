package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/slots"
	"github.com/peridotmount/peridotmount/standin"
)

// TestSchedulerAndReaderOfEndpointsWaitForEachOther has a scheduler whose queue of commands is full, as after a
// standstill, work on a message while endpoints are read, whose change is queued behind others.
func TestSchedulerAndReaderOfEndpointsWaitForEachOther(t *testing.T) {
	// more is above the capacity of the queue.
	const more = 6000
	for name, first := range map[string]slots.HostMessage{
		"a stream is taken up": {Acquire: &scheduler.SlotRequest{Ticket: "t", Request: "later", Service: "s", Resumes: "earlier"}},
		"a conviction is told": {Convictions: []blame.Conviction{{Keys: blame.Combination{"key"}, Left: time.Minute}}},
	} {
		t.Run(name, func(t *testing.T) {
			store := standin.NewStore(standin.StoreFaults{})
			server := httptest.NewServer(store.Handler())
			t.Cleanup(server.Close)
			t.Cleanup(server.CloseClientConnections)
			store.Put(platform.TopicEndpoints.Name, "old", versionRecord(0, "old", "v1").Value)
			var feed *follow.Follower
			o := newOrigins(func() time.Time { return feed.Complete() })
			o.AddNoted(map[string]bool{})
			var local *slots.LocalScheduler
			var changing, changed atomic.Bool
			e := newEndpoints(log.NewNopLogger(), prometheus.NewRegistry(), o, func(*endpoint.View, []endpoint.Change) {
				changing.Store(true)
				local.SetEndpoints([]scheduler.Endpoint{{ID: "old", Service: "s", Slots: 4, Version: "v1"}})
				changed.Store(true)
			})
			e.started = &starting{configuration: &configuration{}, endpoints: e, convictions: &convictions{}}
			self := peers.Host{Name: "h", Incarnation: "i"}
			_, local = slots.NewClient(slots.Options{
				Self: self, Directory: oneHost{self}, Origins: o, RecordsReadUntil: clock.Now,
				RefreshDirectory: func(context.Context) error { return nil }, HTTP: http.DefaultClient, Logger: log.NewNopLogger(),
				ResumableItems: func() []scheduler.Resumable { return nil }, Offers: func() []scheduler.Offer { return nil },
				KnowsJob:         func(string) bool { return true },
				LeavingEndpoints: e.Leaving, AddLeavingEndpoint: func(endpoint.Incarnation) bool { return false },
			})
			feed = follow.New(follow.Options{
				Store: platform.NewStore(server.Listener.Addr().String(), platform.StoreOptions{}), Topic: platform.TopicEndpoints,
				Handler: e, Wait: 50 * time.Millisecond, Logger: log.NewNopLogger(),
			})
			local.Handle("h", &first)
			var queued atomic.Int64
			go func() {
				for range more {
					local.Handle("h", &slots.HostMessage{Withdraw: "none"})
					queued.Add(1)
				}
			}()
			for before := int64(-1); before != queued.Load(); time.Sleep(300 * time.Millisecond) {
				before = queued.Load()
			}
			if queued.Load() == more {
				t.Fatal("the queue has room for all: the run did not reach what it tests")
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = feed.Serve(ctx) }()
			await := func(what string, done func() bool) {
				t.Helper()
				for deadline := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatalf("%s: not within 5 s", what)
					}
				}
			}
			await("the endpoints are read", changing.Load)
			time.Sleep(100 * time.Millisecond)
			go func() { _ = local.Serve(ctx) }()
			await("the scheduler takes the endpoints that were read", changed.Load)
			await("the scheduler works its queue off", func() bool { return queued.Load() == more })
		})
	}
}
