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

// convictionHost is a host of these tests that keeps its convictions in line with a store.
type convictionHost struct {
	*convictions
	feed *follow.Follower
	stop func()
}

func startConvictionHost(t *testing.T, address string, schedules bool) *convictionHost {
	t.Helper()
	store := platform.NewStore(address, platform.StoreOptions{})
	h := &convictionHost{convictions: newConvictions(log.NewNopLogger())}
	h.writer, h.schedules = store, func() bool { return schedules }
	h.started = &starting{
		gate: startup.NewGate(), configuration: &configuration{}, endpoints: &endpoints{}, convictions: h.convictions,
	}
	h.feed = follow.New(follow.Options{
		Store: store, Topic: platform.TopicConvictions, Handler: h.convictions, Wait: 100 * time.Millisecond, Logger: log.NewNopLogger(),
	})
	h.confirm = h.feed.Refresh
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = h.feed.Serve(ctx); done <- struct{}{} }()
	go func() { _ = h.Serve(ctx); done <- struct{}{} }()
	h.stop = func() { cancel(); <-done; <-done }
	return h
}

func (h *convictionHost) await(t *testing.T, what, want string) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		got := ""
		for _, c := range h.list.All(time.Now()) {
			got += c.Keys.String() + ";"
		}
		if got == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: convictions %q, want %q", what, got, want)
		}
	}
}

// TestConvictionsOutliveAllHosts convicts at the host that schedules while the store is
// away: another host learns it when the store is back, and so does one that starts when no
// other is left. The record is deleted when the conviction ends.
func TestConvictionsOutliveAllHosts(t *testing.T) {
	store := standin.NewStore(standin.StoreFaults{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	address := server.Listener.Addr().String()
	first, second := startConvictionHost(t, address, true), startConvictionHost(t, address, false)
	for !first.listed.Load() || !second.listed.Load() {
		time.Sleep(time.Millisecond)
	}
	store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	first.list.Add(time.Now(), blame.Conviction{Keys: blame.NewCombination("part:x", "part:b"), Left: time.Hour})
	first.await(t, "the convicting host", "part:b part:x;")
	second.await(t, "another host in the outage", "")
	store.SetFaults(standin.StoreFaults{})
	second.await(t, "another host after the outage", "part:b part:x;")
	first.stop()
	second.stop()
	third := startConvictionHost(t, address, true)
	third.await(t, "a host started later", "part:b part:x;")
	fourth := startConvictionHost(t, address, false)
	fourth.await(t, "a host started later", "part:b part:x;")
	store.Put(platform.TopicConvictions.Name, "unreadable", []byte("{"))
	store.Put(platform.TopicConvictions.Name, storeKey(blame.NewCombination("part:x", "part:b")), nil)
	third.await(t, "after its end", "")
	fourth.await(t, "after its end", "")
	third.stop()
	fourth.stop()
}
