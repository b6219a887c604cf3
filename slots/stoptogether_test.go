package slots

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// startHosts runs hosts that all follow the first of them.
func startHosts(t *testing.T, count int) (hosts []peers.Host, clients []*Client, directory *fakeDirectory) {
	t.Helper()
	directory = newFakeDirectory()
	for i := range count {
		self := peers.Host{Name: fmt.Sprint("host-", i), Incarnation: "i"}
		c, local := NewClient(Options{
			Self: self, Directory: directory,
			RecordsReadUntil: time.Now, ResumableItems: func() []scheduler.Resumable { return nil },
			Offers: func() []scheduler.Offer { return nil }, KnowsJob: func(string) bool { return true },
			LeavingEndpoints:   func() []endpoint.Incarnation { return nil },
			AddLeavingEndpoint: func(endpoint.Incarnation) bool { return false },
			RefreshDirectory:   func(context.Context) error { return nil },
			HTTP:               &http.Client{Transport: &http.Transport{}}, Logger: log.NewNopLogger(),
		})
		run(t, local.Serve)
		host := serveSessions(t, self.Name, local)
		host.Incarnation = self.Incarnation
		hosts, clients = append(hosts, host), append(clients, c)
	}
	directory.set(slices.Clone(hosts)...)
	for _, c := range clients {
		run(t, c.Serve)
	}
	eventually(t, "one scheduler", func() bool { return allFollow(clients, "host-0") })
	return hosts, clients, directory
}

func allFollow(clients []*Client, name string) bool {
	return !slices.ContainsFunc(clients, func(c *Client) bool { return c.Scheduler() != name })
}

// TestHostsThatStopTogetherKeepOneScheduler stops all hosts at once. Once their records say so, they
// follow the first of them: each would otherwise have its own share of the slots alone.
func TestHostsThatStopTogetherKeepOneScheduler(t *testing.T) {
	hosts, clients, directory := startHosts(t, 6)
	for _, c := range clients {
		c.AnnounceShutdown()
	}
	time.Sleep(3 * electionInterval)
	for i := range hosts {
		hosts[i].Leaving = true
	}
	directory.set(slices.Clone(hosts)...)
	eventually(t, "one scheduler while all hosts stop", func() bool { return allFollow(clients, "host-0") })
}

// TestHostsThatStopTogetherMoveSeldom stops all hosts at once, before their records say so. Each
// scheduler that a host moves to shuts down as well, and says so; they must not go through all of
// them at once.
func TestHostsThatStopTogetherMoveSeldom(t *testing.T) {
	const hostCount = 24
	_, clients, _ := startHosts(t, hostCount)
	opened := func() int {
		n := 0.0
		for _, c := range clients {
			n += testutil.ToFloat64(c.metrics.sessions.WithLabelValues("opened"))
		}
		return int(n)
	}
	before, began := opened(), time.Now()
	for _, c := range clients {
		c.AnnounceShutdown()
	}
	time.Sleep(2 * electionInterval)
	n := opened() - before
	// Besides the ticks, there are the election that its own shutdown triggers, and one in progress.
	if most := hostCount * (int(time.Since(began)/electionInterval) + 3); n > most {
		t.Errorf("%d sessions opened, want at most %d", n, most)
	}
}
