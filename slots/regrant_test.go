package slots

import (
	"context"
	"fmt"
	"testing"

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

// TestStandbysKnowTheLastGrantOfAStream grants streams twice between two replications: the hosts
// that may schedule next go by the second grant, at which the streams began.
func TestStandbysKnowTheLastGrantOfAStream(t *testing.T) {
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
			_, known := atNext.Version("s", request)
			return known
		})
	}
	versions := make(map[string]string)
	for round := range rounds {
		request := fmt.Sprint("r", round)
		versions[request] = grantTwice(t, client, request)
		replicated(request)
	}
	if _, err := begin(t, client, "last", ""); err != nil {
		t.Fatal(err)
	}
	replicated("last")
	wrong := 0
	for request, version := range versions {
		if !atNext.knows(request, version) {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("%d of %d streams have the version of their first grant at the next host", wrong, rounds)
	}
}
