package slots

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// knownOrigins are the streams that one host knows, while several versions serve.
type knownOrigins struct {
	mu    sync.Mutex
	table *origin.Table
}

func newKnownOrigins() *knownOrigins {
	return &knownOrigins{table: origin.NewTable()}
}

func (o *knownOrigins) Version(_, request string, _ time.Time) (origin.Beginning, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Lookup(time.Now(), request)
}

func (o *knownOrigins) record(request, version string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(time.Now(), request, version)
}

func (o *knownOrigins) All() []origin.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.All(time.Now())
}

func (o *knownOrigins) Merge(from string, told origin.Batch) origin.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Merge(time.Now(), from, told)
}

func (o *knownOrigins) knows(request, version string) bool {
	got, known := o.Version("s", request, time.Now())
	return known && got.Version == version
}

// originOptions are the options of a host that knows the streams o.
func originOptions(name string, o *knownOrigins, directory Directory) Options {
	return Options{
		Self: peers.Host{Name: name, Incarnation: "i"}, Directory: directory, Origins: o,
		RecordsReadUntil: time.Now, ResumableItems: func() []scheduler.Resumable { return nil },
		Offers: func() []scheduler.Offer { return nil }, KnowsJob: func(string) bool { return true },
		LeavingEndpoints:   func() []endpoint.Incarnation { return nil },
		AddLeavingEndpoint: func(endpoint.Incarnation) bool { return false },
		RefreshDirectory:   func(context.Context) error { return nil },
		HTTP:               &http.Client{Transport: &http.Transport{}}, Logger: log.NewNopLogger(),
	}
}

// runOriginHost runs the client and the scheduler of a host, with an engine of each version.
func runOriginHost(t *testing.T, name string, o *knownOrigins, directory Directory) (*Client, *LocalScheduler) {
	t.Helper()
	return runOriginHostWith(t, originOptions(name, o, directory))
}

// runOriginHostWith runs the client and the scheduler of a host with options of its own.
func runOriginHostWith(t *testing.T, o Options) (*Client, *LocalScheduler) {
	t.Helper()
	c, local := NewClient(o)
	local.SetEndpoints([]scheduler.Endpoint{
		{ID: "old", Service: "s", Slots: 40, Version: "v1"}, {ID: "new", Service: "s", Slots: 40, Version: "v2"},
	})
	run(t, local.Serve)
	run(t, c.Serve)
	return c, local
}

// begin has a stream granted and returns the version of its slot.
func begin(t *testing.T, c *Client, request, resumes string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	lease, err := c.Acquire(ctx, scheduler.SlotRequest{
		Request: request, Resumes: resumes, Service: "s", Objective: testTimeout, Left: testTimeout,
	})
	if err != nil {
		return "", err
	}
	return lease.Version, nil
}

// TestNextSchedulerKnowsWhoBeganStreams begins streams at hosts of a scheduler that ends together
// with one of them. At the next scheduler they go on at the version that began them; one that
// nobody knows is refused.
func TestNextSchedulerKnowsWhoBeganStreams(t *testing.T) {
	atFirst, atNext, atThird := newKnownOrigins(), newKnownOrigins(), newKnownOrigins()
	firstDirectory := newFakeDirectory()
	_, firstLocal := NewClient(originOptions("first", atFirst, firstDirectory))
	firstLocal.SetEndpoints([]scheduler.Endpoint{
		{ID: "old", Service: "s", Slots: 40, Version: "v1"}, {ID: "new", Service: "s", Slots: 40, Version: "v2"},
	})
	run(t, firstLocal.Serve)
	first := serveSessions(t, "first", firstLocal)
	nextDirectory, thirdDirectory := newFakeDirectory(), newFakeDirectory()
	next, nextLocal := runOriginHost(t, "next", atNext, nextDirectory)
	third, _ := runOriginHost(t, "third", atThird, thirdDirectory)
	nextHost := serveSessions(t, "next", nextLocal)
	order := []peers.Host{first, nextHost, {Name: "third", Incarnation: "i"}}
	firstDirectory.set(order...)
	nextDirectory.set(order...)
	thirdDirectory.set(order...)
	eventually(t, "sessions", func() bool { return next.Scheduler() == "first" && third.Scheduler() == "first" })

	versions := make(map[string]string)
	for i := range 20 {
		request := fmt.Sprint("r", i)
		version, err := begin(t, third, request, "")
		if err != nil {
			t.Fatal(err)
		}
		versions[request] = version
		third.ReportBegun(request, version)
	}
	eventually(t, "the next scheduler knows them", func() bool {
		for request, version := range versions {
			if !atNext.knows(request, version) {
				return false
			}
		}
		return true
	})
	// The scheduler and all that its hosts knew themselves is gone.
	atThird.record("own", "v1")
	order = order[1:]
	nextDirectory.set(order...)
	thirdDirectory.set(order...)
	firstLocal.SetPreviousSchedulerEnd(true)
	next.attach(next.newLocalLink())
	third.attach(third.newLocalLink())
	eventually(t, "the next scheduler is elected", func() bool { return third.Scheduler() == "next" && next.Scheduler() == "next" })
	eventually(t, "it is told of streams that a host saw itself", func() bool { return atNext.knows("own", "v1") })
	seen := make(map[string]bool)
	for request, version := range versions {
		got, err := begin(t, third, "again-"+request, request)
		if err != nil || got != version {
			t.Errorf("%s was begun by %s and goes on at %q, error %v", request, version, got, err)
		}
		seen[version] = true
	}
	if len(seen) != 2 {
		t.Fatalf("streams were begun by %v: the run did not reach what it tests", seen)
	}
	_, err := begin(t, third, "again", "never begun")
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Reason != scheduler.ReasonUnknownVersion {
		t.Errorf("a stream that nobody knows: error %v", err)
	}
}
