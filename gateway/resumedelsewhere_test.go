package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/forward"
	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/slots"
)

// oneHost is the directory of a host that is alone.
type oneHost struct{ self peers.Host }

func (d oneHost) Hosts() []peers.Host             { return []peers.Host{d.self} }
func (d oneHost) MarkAlive(...string)             {}
func (d oneHost) LastRecordRead(string) time.Time { return clock.Now() }

// ofOneVersion returns what a host knows that has read endpoints of a single version for long.
func ofOneVersion(version string) *origins {
	o := newOrigins(clock.Now)
	o.AddNoted(map[string]bool{})
	o.Observe([]endpoint.Endpoint{{ID: "old", Service: "s", Version: version}})
	return o
}

// takeUp has a stream taken up at a host that knows here, whose scheduler knows there, and returns the
// version of the slot that it is granted.
func takeUp(t *testing.T, here, there *origins) string {
	t.Helper()
	self := peers.Host{Name: "h", Incarnation: "i"}
	client, local := slots.NewClient(slots.Options{
		Self: self, Directory: oneHost{self}, Origins: there, RecordsReadUntil: clock.Now,
		RefreshDirectory: func(context.Context) error { return nil }, HTTP: http.DefaultClient, Logger: log.NewNopLogger(),
		ResumableItems: func() []scheduler.Resumable { return nil }, Offers: func() []scheduler.Offer { return nil },
		KnowsJob:         func(string) bool { return true },
		LeavingEndpoints: func() []endpoint.Incarnation { return nil }, AddLeavingEndpoint: func(endpoint.Incarnation) bool { return false },
	})
	local.SetEndpoints([]scheduler.Endpoint{{ID: "old", Service: "s", Slots: 4, Version: "v1"}, {ID: "new", Service: "s", Slots: 4, Version: "v2"}})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() { _ = local.Serve(ctx) }()
	go func() { _ = client.Serve(ctx) }()
	p := &placer{client: client, origins: here, logger: log.NewNopLogger()}
	ask := &forward.PlacementRequest{Request: "later", Service: "s", Resumes: "earlier", Left: 10 * time.Second}
	lease, err := p.acquire(ctx, ask, &scheduler.SlotRequest{Request: "later", Service: "s", Resumes: "earlier", Objective: 10 * time.Second}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return lease.Version
}

// TestSchedulerTellsWhoBeganAStream has a stream taken up at a host that has not read the record of
// the first endpoint of a new version yet, which the scheduler has. The stream began there.
func TestSchedulerTellsWhoBeganAStream(t *testing.T) {
	here, there := ofOneVersion("v1"), ofOneVersion("v1")
	there.Observe([]endpoint.Endpoint{{ID: "old", Service: "s", Version: "v1"}, {ID: "new", Service: "s", Version: "v2"}})
	streams := make(origin.Streams)
	streams.Add("earlier", "v2")
	there.Merge("s", origin.Batch{Streams: streams})
	if version := takeUp(t, here, there); version != "v2" {
		t.Errorf("a stream that v2 began goes on at %s", version)
	}
}

// TestRecordsOfAStreamThatDiffer has a stream taken up of which a host was told, and its scheduler
// knows better, knows nothing, or has not the word of the host that began it.
func TestRecordsOfAStreamThatDiffer(t *testing.T) {
	two := func() *origins {
		o := newOrigins(clock.Now)
		o.Observe([]endpoint.Endpoint{{ID: "old", Service: "s", Version: "v1"}, {ID: "new", Service: "s", Version: "v2"}})
		return o
	}
	told := func(o *origins, version string) *origins {
		streams := make(origin.Streams)
		streams.Add("earlier", version)
		o.Merge("s", origin.Batch{Streams: streams})
		return o
	}
	began := func(o *origins, version string) *origins {
		o.Begun("earlier", version)
		return o
	}
	for name, c := range map[string]struct {
		here, there *origins
		want        string
	}{
		"the host was told of the grant before": {told(two(), "v1"), told(two(), "v2"), "v2"},
		"the scheduler knows nothing":           {told(two(), "v1"), two(), "v1"},
		"the host began it":                     {began(two(), "v1"), told(two(), "v2"), "v1"},
	} {
		if version := takeUp(t, c.here, c.there); version != c.want {
			t.Errorf("%s: it goes on at %s, want %s", name, version, c.want)
		}
	}
}
