package e2e

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// TestRoutesHostThatReachesNoEndpointStillServes takes one host's links to all endpoints away,
// and then those of three of four: from stableWindow on, callers of each kind of work are
// served there as at the others.
func TestRoutesHostThatReachesNoEndpointStillServes(t *testing.T) {
	t.Parallel()
	// Attempts that are under way as further hosts are cut aren't judged.
	const judged, underWay = 2 * time.Second, 500 * time.Millisecond
	for _, manner := range cutManners {
		t.Run(string(manner), func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t)
			load := f.begin(f.hosts, allKinds...)
			time.Sleep(500 * time.Millisecond)
			one := time.Now()
			f.hosts[1].cut(manner)
			time.Sleep(stableWindow + judged + underWay)
			most := time.Now()
			f.hosts[2].cut(manner)
			f.hosts[3].cut(manner)
			time.Sleep(stableWindow + judged)
			over := time.Now()
			attempts := load.end()
			from, to := one.Add(stableWindow), one.Add(stableWindow+judged)
			f.expectServed("one host of four is cut, callers there", between(attempts, f.hosts[1:2], from, to), allKinds...)
			f.expectServed("one host of four is cut, callers elsewhere", between(attempts, []*linkedHost{f.hosts[0], f.hosts[2], f.hosts[3]}, from, to), allKinds...)
			from = most.Add(stableWindow)
			f.expectServed("three hosts of four are cut, callers there", between(attempts, f.hosts[1:], from, over), allKinds...)
			f.expectServed("three hosts of four are cut, callers elsewhere", between(attempts, f.hosts[:1], from, over), allKinds...)
			f.checkPromises(attempts)
		})
	}
}

// TestRoutesSchedulerThatReachesNoEndpointStillServes takes the links of the host that
// schedules away: callers there and elsewhere are served.
func TestRoutesSchedulerThatReachesNoEndpointStillServes(t *testing.T) {
	t.Parallel()
	for _, manner := range cutManners {
		t.Run(string(manner), func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t)
			f.beginner = f.hosts[3]
			f.strand(manner, f.hosts[0])
			attempts := f.workFor(2*time.Second, f.hosts, allKinds...)
			f.expectServed("the scheduler is cut, callers there", at(attempts, f.hosts[:1]), allKinds...)
			f.expectServed("the scheduler is cut, callers elsewhere", at(attempts, f.hosts[1:]), allKinds...)
			f.checkPromises(attempts)
		})
	}
}

// TestRoutesHostThatStartsWithoutLinksStillServes starts a host again while it reaches no
// endpoint.
func TestRoutesHostThatStartsWithoutLinksStillServes(t *testing.T) {
	t.Parallel()
	for _, manner := range []cutManner{cutHang, cutReset, cutRefuse} {
		t.Run(string(manner), func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t)
			cut := f.hosts[1]
			cut.cut(manner)
			cut.kill()
			f.restart(cut.gateway)
			f.awaitReady(cut.gateway)
			load := f.begin(f.hosts[1:2], allKinds...)
			time.Sleep(stableWindow)
			from := time.Now()
			time.Sleep(2 * time.Second)
			attempts := load.end()
			f.expectServed("a host that started without links", between(attempts, f.hosts[1:2], from, time.Now()), allKinds...)
			f.checkPromises(attempts)
		})
	}
}

// TestRoutesStrandedHostServesInAStoreOutage cuts three hosts of four while the store is down.
func TestRoutesStrandedHostServesInAStoreOutage(t *testing.T) {
	t.Parallel()
	f := newStrandedFleet(t)
	f.store.SetFaults(standin.StoreFaults{Outage: standin.OutageSilent})
	f.strand(cutHang, f.hosts[1:]...)
	attempts := f.workFor(2*time.Second, f.hosts, allKinds...)
	f.expectServed("the store is down, callers at cut hosts", at(attempts, f.hosts[1:]), allKinds...)
	f.expectServed("the store is down, callers elsewhere", at(attempts, f.hosts[:1]), allKinds...)
	f.checkPromises(attempts)
}

// TestRoutesHealedHostCallsEndpointsItself gives a host its links back: callers notice nothing,
// and the host, which others helped until then, calls the endpoints itself again.
func TestRoutesHealedHostCallsEndpointsItself(t *testing.T) {
	t.Parallel()
	const back, settled, inARow = 8 * time.Second, 2 * time.Second, 20
	for _, manner := range cutManners {
		t.Run(string(manner), func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t)
			f.strand(manner, f.hosts[1])
			load := f.begin(f.hosts[1:2], allKinds...)
			time.Sleep(time.Second)
			helped := time.Now()
			f.hosts[1].heal()
			time.Sleep(back + settled)
			attempts := load.end()
			f.expectServed("from stableWindow after the cut on", attempts, allKinds...)
			f.checkPromises(attempts)
			runs, fromOthers, late, direct := f.runsOf(), 0, 0, 0
			for _, a := range attempts {
				for _, run := range runs[a.id] {
					switch own := f.sender(run) == f.hosts[1]; {
					case a.at.Before(helped) && !own:
						fromOthers++
					case a.at.After(helped.Add(back)):
						late++
						if own {
							direct++
						}
					}
				}
			}
			if fromOthers == 0 {
				t.Error("no call of the cut host reached an endpoint through another host")
			}
			if late < inARow || direct != late {
				t.Errorf("%s after the cut %d of %d calls went to the endpoint directly", back, direct, late)
			}
		})
	}
}

// TestRoutesFlappingLinksKeepServing takes a host's links away for every other second: fewer of
// its callers fail than RECOVER allows of a lasting cut.
func TestRoutesFlappingLinksKeepServing(t *testing.T) {
	t.Parallel()
	for _, manner := range []cutManner{cutHang, cutReset, cutRefuse} {
		t.Run(string(manner), func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t)
			load := f.begin(f.hosts[1:2], allKinds...)
			from := time.Now().Add(stableWindow)
			for range 5 {
				f.hosts[1].cut(manner)
				time.Sleep(time.Second)
				f.hosts[1].heal()
				time.Sleep(time.Second)
			}
			attempts := load.end()
			f.checkPromises(attempts)
			judged := between(attempts, f.hosts[1:2], from, time.Now())
			failed := failures(judged)
			if !tolerable(len(failed), len(judged)) {
				t.Errorf("%d of %d attempts failed%s", len(failed), len(judged), first(failed))
			}
		})
	}
}

// TestRoutesHostsThatAllReachNoEndpointRefuseAtOnce takes the links of all hosts away: callers
// are refused with Retry-After within a quarter of their objective.
func TestRoutesHostsThatAllReachNoEndpointRefuseAtOnce(t *testing.T) {
	t.Parallel()
	for _, manner := range []cutManner{cutHang, cutReset, cutRefuse} {
		t.Run(string(manner), func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t)
			f.strand(manner, f.hosts...)
			kinds := []*callKind{safeCall, largeCall, onceCall, openCall, streamCall, singleCall}
			attempts := f.workFor(2*time.Second, f.hosts, kinds...)
			f.checkPromises(attempts)
			for _, kind := range kinds {
				all := slices.DeleteFunc(slices.Clone(attempts), func(a *callAttempt) bool { return a.kind != kind })
				wrong := slices.DeleteFunc(slices.Clone(all), func(a *callAttempt) bool {
					return a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
				})
				if len(all) == 0 || len(wrong) > 0 {
					t.Errorf("%s: %d of %d not refused%s", kind.name, len(wrong), len(all), first(wrong))
				}
			}
			late := slices.DeleteFunc(slices.Clone(attempts), func(a *callAttempt) bool { return a.took <= strandedObjective/4 })
			if !tolerable(len(late), len(attempts)) {
				t.Errorf("%d of %d not refused at once%s", len(late), len(attempts), first(late))
			}
		})
	}
}
