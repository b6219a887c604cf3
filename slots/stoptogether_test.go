package slots

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// TestHostsThatStopTogetherKeepOneScheduler stops all hosts at once. Once their records say so, they
// follow the first of them: each would otherwise have its own share of the slots alone.
func TestHostsThatStopTogetherKeepOneScheduler(t *testing.T) {
	const hostCount = 6
	directory := newFakeDirectory()
	var hosts []peers.Host
	var clients []*Client
	for i := range hostCount {
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
	follow := func(name string) func() bool {
		return func() bool {
			for _, c := range clients {
				if c.Scheduler() != name {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "one scheduler", follow("host-0"))
	for _, c := range clients {
		c.AnnounceShutdown()
	}
	time.Sleep(3 * electionInterval)
	for i := range hosts {
		hosts[i].Leaving = true
	}
	directory.set(slices.Clone(hosts)...)
	eventually(t, "one scheduler while all hosts stop", follow("host-0"))
}
