package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

const (
	// limitPerSecond is the rate limit that replicas name, limitSettle how long after it was
	// first named it binds, limitWindow the time over which requests are counted, and
	// limitBound how many may reach a replica within it.
	limitPerSecond = 3.0
	limitSettle    = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitBound     = 1.5*limitPerSecond*4 + 5
)

// checkLimit fails the test if more than limitBound requests reached a replica within
// limitWindow, from a time on.
func checkLimit(t *testing.T, r *standin.Replica, from time.Time) {
	t.Helper()
	var at []time.Time
	for _, run := range r.Runs() {
		if !run.At.Before(from) {
			at = append(at, run.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	for i := range at {
		n := 0
		for n < len(at)-i && at[i+n].Sub(at[i]) < limitWindow {
			n++
		}
		if n > limitBound {
			t.Errorf("%s takes %g requests a second and got %d within %s, allowed %g", r.ID, limitPerSecond, n, limitWindow, limitBound)
			return
		}
	}
}

// TestRoutesEndpointsGetNoMoreThanTheyTake sends many streams, plain requests and batch items
// at all hosts while some replicas of each service name a rate limit. It holds over all hosts,
// also while the one that schedules is killed, a new one starts, all start again, and the
// store is down.
func TestRoutesEndpointsGetNoMoreThanTheyTake(t *testing.T) {
	f := newRoutedFleet(t, 3)
	limited := []*standin.Replica{f.engines[0], f.engines[1], f.plain[0]}
	for _, r := range f.engines {
		r.SetFaults(standin.ReplicaFaults{Announced: true})
	}
	for _, r := range limited {
		r.SetFaults(standin.ReplicaFaults{Announced: true, Limit: limitPerSecond})
	}
	var answered, seq atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, g := range f.gateways {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				id := fmt.Sprintf("r%d", seq.Add(1))
				for _, path := range []string{"/stream/", "/check/"} {
					method := map[string]string{"/stream/": http.MethodPost, "/check/": http.MethodGet}[path]
					group.Go(func() {
						if r := g.send(method, path+id, path[1:3]+id, nil); r.status == http.StatusOK {
							answered.Add(1)
						}
					})
				}
			}
		})
	}
	f.gateways[0].send(http.MethodPost, "/lots-in/a", "lot-a", job("lot-a", 40))
	begin := time.Now()
	time.Sleep(limitSettle)
	f.gateways[0].kill()
	time.Sleep(time.Second)
	f.restart(f.gateways[0])
	late := f.newGateway("late", f.storeAddress)
	f.awaitReady(f.gateways[0], late)
	f.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	time.Sleep(limitWindow)
	f.store.SetFaults(standin.StoreFaults{})
	served := answered.Load()
	for _, g := range f.gateways {
		g.kill()
	}
	late.kill()
	for _, g := range append(f.gateways, late) {
		f.restart(g)
	}
	f.awaitReady(f.gateways...)
	time.Sleep(limitWindow)
	close(stop)
	group.Wait()
	if served == 0 || answered.Load() == served {
		t.Fatalf("%d requests were answered, %d after all hosts were started again: the run did not reach what it tests", served, answered.Load())
	}
	for _, r := range limited {
		checkLimit(t, r, begin.Add(limitSettle))
		if got := len(r.Runs()); got < 10 {
			t.Errorf("%s got %d requests in %s: it could have had more", r.ID, got, time.Since(begin))
		}
	}
}
