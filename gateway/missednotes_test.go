package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// listingHost returns the notes of a host and its endpoints, of which a first list was borrowed.
func listingHost(address string) (*endpointNotes, *endpoints) {
	n := newNotingHost(address)
	e := newEndpoints(log.NewNopLogger(), prometheus.NewRegistry(), n.origins, func(*endpoint.View, []endpoint.Change) {})
	e.started = &starting{configuration: &configuration{}, endpoints: e, convictions: &convictions{}}
	e.Listed(clock.Now(), []platform.KeyedRecord{versionRecord(4, "new", "v2")}, 5)
	return n, e
}

// TestVersionsThatAnotherHostToldOfAreNotForgottenWithTheFirstList starts a host in an outage of the store. It borrows
// the list of endpoints, and another host tells that there was a second version a moment ago. Then the
// store answers, and has no note yet, as nobody could write one.
func TestVersionsThatAnotherHostToldOfAreNotForgottenWithTheFirstList(t *testing.T) {
	store := standin.NewStore(standin.StoreFaults{Outage: standin.OutageBusy})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	other := newNotingHost(address)
	other.origins.AddNoted(map[string]bool{})
	other.origins.Observe(serving("v1", "v2"))
	other.origins.Observe(serving("v2"))
	n, e := listingHost(address)
	n.ask = askHost(other)
	n.read(context.Background())
	if b, known := n.origins.Version("s", "r", clock.Now()); known {
		t.Fatalf("%+v is known: the run did not reach what it tests", b)
	}
	store.SetFaults(standin.StoreFaults{})
	e.Listed(clock.Now(), []platform.KeyedRecord{versionRecord(4, "new", "v2")}, 5)
	n.read(context.Background())
	if n.written == nil {
		t.Fatal("the notes were not read: the run did not reach what it tests")
	}
	if b, known := n.origins.Version("s", "r", clock.Now()); known {
		t.Errorf("%+v is known, and another host told of two versions a moment ago", b)
	}
}

// TestNoteOnVersionsOutlivesANewListOfItsWriter has the host that schedules read the note that a service has two
// versions, of which it sees one, and list the endpoints again as records were trimmed: the note stays.
func TestNoteOnVersionsOutlivesANewListOfItsWriter(t *testing.T) {
	store := standin.NewStore(standin.StoreFaults{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	former := newNotingHost(address)
	former.origins.AddNoted(map[string]bool{})
	former.origins.Observe(serving("v1", "v2"))
	former.runNotes(t, "the note is written", func() bool { return notes(t, address) == 1 })
	n, e := listingHost(address)
	n.read(context.Background())
	n.write(context.Background())
	if got := notes(t, address); got != 1 {
		t.Fatalf("%d notes: the run did not reach what it tests", got)
	}
	e.Listed(clock.Now(), []platform.KeyedRecord{versionRecord(4, "new", "v2")}, 5)
	n.write(context.Background())
	next := newNotingHost(address)
	next.origins.Observe(serving("v2"))
	next.read(context.Background())
	if b, known := next.origins.Version("s", "r", clock.Now()); known {
		t.Errorf("a host that starts now: %+v is known, the store has %d notes", b, notes(t, address))
	}
}

// TestHostWithAnOldListTellsNothingOfVersions has a host that is cut off from the store answer one that starts, while a
// second version came and the first one left.
func TestHostWithAnOldListTellsNothingOfVersions(t *testing.T) {
	store := standin.NewStore(standin.StoreFaults{Outage: standin.OutageBusy})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	cutOff := newNotingHost(server.Listener.Addr().String())
	cutAt := clock.Now().Add(-time.Minute)
	cutOff.origins = newOrigins(func() time.Time { return cutAt })
	cutOff.origins.AddNoted(map[string]bool{})
	cutOff.origins.Observe(serving("v1"))
	n := newNotingHost(server.Listener.Addr().String())
	n.ask = askHost(cutOff)
	n.read(context.Background())
	n.origins.Observe(serving("v2"))
	if b, known := n.origins.Version("s", "r", clock.Now()); known {
		t.Errorf("%+v is known, and the host that told had read of another version last", b)
	}
}
