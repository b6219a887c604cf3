package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// testFleet is a set of engines that execute some of the orders sent to them.
type testFleet struct {
	rand    *rand.Rand
	engines []Endpoint
	set     *objects.Set
}

func newTestFleet(seed uint64) *testFleet {
	f := &testFleet{rand: rand.New(rand.NewPCG(seed, 0))}
	for i := range 3 + f.rand.IntN(12) {
		f.engines = append(f.engines, Endpoint{
			Host:  platform.Host{Name: fmt.Sprintf("e-%d", i), Zone: fmt.Sprintf("z-%d", i%3)},
			State: &engine.State{},
		})
	}
	f.set = f.randomSet(1)
	return f
}

// randomSet returns a random set whose services use the given version of their models.
func (f *testFleet) randomSet(version int) *objects.Set {
	set := &objects.Set{Services: make(map[string]*objects.Service)}
	for i := range 1 + f.rand.IntN(4) {
		name := fmt.Sprintf("s-%d", i)
		set.Services[name] = &objects.Service{
			Name: name, Kind: objects.ServiceModel, Model: fmt.Sprintf("m-%d", i%2),
			Version:  fmt.Sprintf("m-%d-v%d", i%2, version),
			Replicas: 1 + f.rand.IntN(6),
		}
	}
	return set
}

// execute executes the steps, all or a random selection, and returns how many.
func (f *testFleet) execute(steps []Step, all bool) int {
	done := 0
	for _, step := range steps {
		if !all && f.rand.IntN(3) == 0 {
			continue
		}
		done++
		for i := range f.engines {
			e := &f.engines[i]
			if e.Host.Name == step.Endpoint.Name {
				e.State = applyStep(e.State, step)
			}
		}
	}
	return done
}

func applyStep(old *engine.State, step Step) *engine.State {
	next := &engine.State{}
	for _, a := range old.Artifacts {
		if a != step.Artifact {
			next.Artifacts = append(next.Artifacts, a)
		}
	}
	if step.Kind == engine.OrderLoad {
		next.Artifacts = append(next.Artifacts, step.Artifact)
	}
	return next
}

// countLoaded returns the number of engines that have loaded a version.
func (f *testFleet) countLoaded(version string) int {
	n := 0
	for _, e := range f.engines {
		for _, a := range e.State.Artifacts {
			if a.Name == version {
				n++
			}
		}
	}
	return n
}

// settle executes orders until none is left and returns a description of the first
// violation, or "". old is the set whose versions must not be unloaded too early.
func (f *testFleet) settle(old *objects.Set) string {
	for range 200 {
		steps := Plan(f.set, f.engines)
		if len(steps) == 0 {
			return f.missingReplicas()
		}
		f.execute(steps, false)
		if fault := f.prematureUnload(old); fault != "" {
			return fault
		}
	}
	return "orders remain after 200 rounds"
}

func (f *testFleet) missingReplicas() string {
	for _, service := range f.set.Services {
		if have := f.countLoaded(service.Version); have < min(service.Replicas, len(f.engines)) {
			return fmt.Sprintf("%s has %d of %d replicas", service.Name, have, service.Replicas)
		}
	}
	return ""
}

// prematureUnload describes a service of the old set that lost replicas before its
// new version had all of its replicas, or returns "".
func (f *testFleet) prematureUnload(old *objects.Set) string {
	for name, previous := range old.Services {
		current := f.set.Services[name]
		if current == nil || f.countLoaded(current.Version) >= min(current.Replicas, len(f.engines)) {
			continue
		}
		if have := f.countLoaded(previous.Version); have < min(previous.Replicas, len(f.engines)) {
			return fmt.Sprintf("%s: %d old and %d new replicas", name, have, f.countLoaded(current.Version))
		}
	}
	return ""
}

func TestVersionsRoll(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("orders converge to the wanted state and never leave a service short of replicas", prop.ForAll(func(seed uint64) string {
		fleet := newTestFleet(seed)
		empty := &objects.Set{}
		if fault := fleet.settle(empty); fault != "" {
			return fault
		}
		for version := 2; version < 5; version++ {
			old := fleet.set
			fleet.set = fleet.randomSet(version)
			if fault := fleet.settle(old); fault != "" {
				return fault
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestReplicasSpreadOverZones(t *testing.T) {
	for seed := range uint64(50) {
		fleet := newTestFleet(seed)
		for _, asg := range assign(fleet.set, fleet.engines) {
			byZone := make(map[string]int)
			for _, e := range asg.endpoints {
				byZone[e.Host.Zone]++
			}
			if want := min(3, len(asg.endpoints)); len(byZone) != want {
				t.Errorf("seed %d: %d replicas of %s are spread over %d zones", seed, len(asg.endpoints), asg.service.Name, len(byZone))
			}
		}
	}
}

// TestUnresponsiveEnginesGetNoOrders checks that no order is planned for an engine that
// does not respond, while engines become unresponsive one after another and a new
// version is to be loaded.
func TestUnresponsiveEnginesGetNoOrders(t *testing.T) {
	fleet := newTestFleet(1)
	if fault := fleet.settle(&objects.Set{}); fault != "" {
		t.Fatal(fault)
	}
	fleet.set = fleet.randomSet(2)
	for range 50 {
		fleet.execute(Plan(fleet.set, fleet.engines), true)
	}
	fleet.set = fleet.randomSet(3)
	for i := range fleet.engines {
		fleet.engines[i].State = nil
		for _, step := range Plan(fleet.set, fleet.engines) {
			if step.Endpoint.Name == fleet.engines[i].Host.Name {
				t.Errorf("planned %s of %s for an engine that does not respond", step.Kind, step.Artifact.Name)
			}
		}
	}
}
