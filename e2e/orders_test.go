package e2e

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/orders"
	"github.com/peridotmount/peridotmount/standin"
)

// loadedVersions returns the versions that an engine has loaded.
func (f *fleet) loadedVersions(e *endpoint) []string {
	f.t.Helper()
	var state engine.State
	f.call(http.MethodGet, e.host.Address+"/state", nil, &state)
	var out []string
	for _, a := range state.Artifacts {
		if a.Kind == engine.ArtifactVersion {
			out = append(out, a.Name)
		}
	}
	return out
}

// awaitLoaded waits until every engine has loaded what the example asks for.
func (f *fleet) awaitLoaded(engines []*endpoint) {
	f.t.Helper()
	for _, e := range engines {
		eventually(f.t, e.name+" loaded", func() bool {
			var state engine.State
			f.call(http.MethodGet, e.host.Address+"/state", nil, &state)
			return len(state.Artifacts) >= 2
		})
	}
}

func (f *fleet) orderCounts(e *endpoint) map[int64]int64 {
	f.t.Helper()
	var counts []standin.OrderCount
	f.call(http.MethodGet, e.host.Address+"/order-counts", nil, &counts)
	out := make(map[int64]int64)
	for _, c := range counts {
		out[c.Fencing] = c.Applied
	}
	return out
}

const quickOrders = "[orders]\npoll = 50ms\nlease_ttl = 1500ms\nlease_margin = 300ms\n"

// TestOrdersPausedHolder freezes each host in turn while the set changes, the
// holder of the orders' lease among them, with engines that check the fencing
// number and with engines that do not. Whoever wakes, the engines must end with
// what was published last and stay so.
func TestOrdersPausedHolder(t *testing.T) {
	for name, args := range map[string][]string{"checked": nil, "ignored": {"--check-fencing=false"}} {
		t.Run(name, func(t *testing.T) { testPausedHolder(t, args) })
	}
}

func testPausedHolder(t *testing.T, args []string) {
	f := newFleet(t, fleetOptions{daemons: 3, engines: 3, engineArgs: args, settings: quickOrders})
	versions := []string{"towel-base-3"}
	for i, d := range f.daemons {
		d.freeze()
		next := "towel-base-" + string(rune('4'+i))
		f.publishOnly(changedSet(t, "towel-base-3", next))
		versions = append(versions, next)
		f.awaitVersion(next)
		d.thaw()
		// The frozen host has to be back in step before the next one stops.
		f.awaitRevision([]*daemon{d}, f.status(f.daemons[(i+1)%3]).Revision)
	}
	before := f.applied()
	f.awaitRenewals(20)
	f.awaitVersion(versions[len(versions)-1])
	if after := f.applied(); after != before {
		t.Errorf("%d orders were applied after the last change was in force", after-before)
	}
	for _, e := range f.engines {
		counts := f.orderCounts(e)
		if len(counts) < 2 {
			t.Errorf("%s: the lease never moved: %v", e.name, counts)
		}
		// Each version and the adapter are loaded once, each old version is
		// unloaded once; a host that wakes may add one order and its undoing.
		total, limit := int64(0), int64(2*len(versions)+2*len(f.daemons))
		for _, n := range counts {
			total += n
		}
		if total > limit {
			t.Errorf("%s: %d orders applied, more than %d: %v", e.name, total, limit, counts)
		}
	}
}

// awaitVersion waits until every engine has loaded that version alone.
func (f *fleet) awaitVersion(version string) {
	f.t.Helper()
	for _, e := range f.engines {
		eventually(f.t, e.name+" has "+version, func() bool {
			got := f.loadedVersions(e)
			return len(got) == 1 && got[0] == version
		})
	}
}

// publishOnly publishes a directory and does not wait for the hosts.
func (f *fleet) publishOnly(dir string) {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "peridotmount"), "publish", dir, "--store", f.store)
	if out, err := cmd.CombinedOutput(); err != nil {
		f.t.Fatalf("publish: %v\n%s", err, out)
	}
}

// awaitRenewals waits until so many more records stand in the orders' stream,
// in which time a host that woke has had its turns.
func (f *fleet) awaitRenewals(n int64) {
	f.t.Helper()
	count := func() int64 {
		var stats standin.StoreStats
		f.call(http.MethodGet, f.storeURL+"/standin/stats", nil, &stats)
		return stats.Records[orders.Stream+"/0"]
	}
	until := count() + n
	eventually(f.t, "renewals", func() bool { return count() >= until })
}

// applied counts the orders that changed an engine.
func (f *fleet) applied() int64 {
	f.t.Helper()
	total := int64(0)
	for _, e := range f.engines {
		for _, n := range f.orderCounts(e) {
			total += n
		}
	}
	return total
}
