package slots

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// grantTwice has a stream granted, and at once again at another endpoint, as after a refused
// connection. It returns the version of the second grant.
func grantTwice(t *testing.T, c *Client, request string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ask := scheduler.SlotRequest{Request: request, Service: "s", Objective: testTimeout, Left: testTimeout}
	first, err := c.Acquire(ctx, ask)
	if err != nil {
		t.Fatal(err)
	}
	ask.Avoid = []string{first.Endpoint}
	second, err := c.Acquire(ctx, ask)
	if err != nil {
		t.Fatal(err)
	}
	first.Release(scheduler.Usage{Outcome: scheduler.Abandoned})
	if first.Version == second.Version {
		t.Fatalf("%s was granted at %s twice: the run did not reach what it tests", request, first.Version)
	}
	return second.Version
}

// TestStandbysKnowWhereAStreamOfTwoGrantsBegan grants streams twice between two replications: the hosts
// that may schedule next know nothing by the grants, and the second version once the streams began there.
func TestStandbysKnowWhereAStreamOfTwoGrantsBegan(t *testing.T) {
	const rounds = 30
	atFirst, atNext := newKnownOrigins(), newKnownOrigins()
	firstDirectory, nextDirectory := newFakeDirectory(), newFakeDirectory()
	client, firstLocal := runOriginHost(t, "first", atFirst, firstDirectory)
	first := serveSessions(t, "first", firstLocal)
	next, _ := runOriginHost(t, "next", atNext, nextDirectory)
	order := []peers.Host{first, {Name: "next", Incarnation: "i"}}
	firstDirectory.set(order...)
	nextDirectory.set(order...)
	eventually(t, "session", func() bool { return next.Scheduler() == "first" && client.Scheduler() == "first" })

	replicated := func(request string) {
		t.Helper()
		eventually(t, "replication", func() bool {
			_, known := atNext.Version("s", request, time.Now())
			return known
		})
	}
	versions := make(map[string]string)
	for round := range rounds {
		request := fmt.Sprint("r", round)
		versions[request] = grantTwice(t, client, request)
	}
	begun := func(request, version string) {
		atFirst.record(request, version)
		client.ReportBegun(request, version)
		replicated(request)
	}
	begun("last grant", "v1")
	for request := range versions {
		if b, known := atNext.Version("s", request, time.Now()); known {
			t.Errorf("%s is known by its grants: %+v", request, b)
		}
	}
	for request, version := range versions {
		begun(request, version)
	}
	wrong := 0
	for request, version := range versions {
		if !atNext.knows(request, version) {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("%d of %d streams have another version than that of their first event at the next host", wrong, rounds)
	}
}

// TestUnusedGrantsDoNotMoveAStream has a stream granted at one version, begun there, and granted at
// the other one for an attempt that is not made, before and after its first event: it goes on at
// the version that began it, at the scheduler and at the hosts that may schedule next.
func TestUnusedGrantsDoNotMoveAStream(t *testing.T) {
	atFirst, atNext := newKnownOrigins(), newKnownOrigins()
	firstDirectory, nextDirectory := newFakeDirectory(), newFakeDirectory()
	_, firstLocal := runOriginHost(t, "first", atFirst, firstDirectory)
	first := serveSessions(t, "first", firstLocal)
	next, _ := runOriginHost(t, "next", atNext, nextDirectory)
	order := []peers.Host{first, {Name: "next", Incarnation: "i"}}
	firstDirectory.set(order...)
	nextDirectory.set(order...)
	eventually(t, "session", func() bool { return next.Scheduler() == "first" })

	begins := make(map[string]string)
	for i := range 4 {
		request := fmt.Sprint("r", i)
		used := map[string]string{"v1": "v2", "v2": "v1"}[grantTwice(t, next, request)]
		next.ReportBegun(request, used)
		begins[request] = used
		if _, err := begin(t, next, request, ""); err != nil {
			t.Fatal(err)
		}
		grantTwice(t, next, request)
	}
	next.ReportBegun("last", "v1")
	eventually(t, "replication", func() bool { return atFirst.knows("last", "v1") && atNext.knows("last", "v1") })
	for request, version := range begins {
		if !atFirst.knows(request, version) || !atNext.knows(request, version) {
			t.Errorf("%s was begun by %s, which is known to the scheduler: %t, to the next: %t",
				request, version, atFirst.knows(request, version), atNext.knows(request, version))
		}
	}
}
