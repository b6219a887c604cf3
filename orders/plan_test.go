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
	s := &testFleet{rand: rand.New(rand.NewPCG(seed, 0))}
	for i := range 3 + s.rand.IntN(12) {
		s.engines = append(s.engines, Endpoint{
			Host:  platform.Host{Name: fmt.Sprintf("e-%d", i), Zone: fmt.Sprintf("z-%d", i%3)},
			State: &engine.State{},
		})
	}
	s.set = s.randomSet(1)
	return s
}

// randomSet returns a random set whose services use the given version of their models.
func (s *testFleet) randomSet(version int) *objects.Set {
	set := &objects.Set{Services: make(map[string]*objects.Service)}
	for i := range 1 + s.rand.IntN(4) {
		name := fmt.Sprintf("s-%d", i)
		set.Services[name] = &objects.Service{
			Name: name, Kind: objects.ServiceModel, Model: fmt.Sprintf("m-%d", i%2),
			Version:  fmt.Sprintf("m-%d-v%d", i%2, version),
			Replicas: 1 + s.rand.IntN(6),
		}
	}
	return set
}

// execute executes the steps, all or a random selection, and returns how many.
func (s *testFleet) execute(steps []Step, all bool) int {
	done := 0
	for _, step := range steps {
		if !all && s.rand.IntN(3) == 0 {
			continue
		}
		done++
		for i := range s.engines {
			e := &s.engines[i]
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
func (s *testFleet) countLoaded(version string) int {
	n := 0
	for _, e := range s.engines {
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
func (s *testFleet) settle(old *objects.Set) string {
	for range 200 {
		steps := Plan(s.set, s.engines)
		if len(steps) == 0 {
			return s.missingReplicas()
		}
		s.execute(steps, false)
		if fault := s.prematureUnload(old); fault != "" {
			return fault
		}
	}
	return "orders remain after 200 rounds"
}

func (s *testFleet) missingReplicas() string {
	for _, service := range s.set.Services {
		if have := s.countLoaded(service.Version); have < min(service.Replicas, len(s.engines)) {
			return fmt.Sprintf("%s has %d of %d replicas", service.Name, have, service.Replicas)
		}
	}
	return ""
}

// prematureUnload describes a service of the old set that lost replicas before its
// new version had all of its replicas, or returns "".
func (s *testFleet) prematureUnload(old *objects.Set) string {
	for name, previous := range old.Services {
		current := s.set.Services[name]
		if current == nil || s.countLoaded(current.Version) >= min(current.Replicas, len(s.engines)) {
			continue
		}
		if have := s.countLoaded(previous.Version); have < min(previous.Replicas, len(s.engines)) {
			return fmt.Sprintf("%s: %d old and %d new replicas", name, have, s.countLoaded(current.Version))
		}
	}
	return ""
}

func TestVersionsRoll(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("orders converge to the wanted state and never leave a service short of replicas", prop.ForAll(func(seed uint64) string {
		s := newTestFleet(seed)
		empty := &objects.Set{}
		if fault := s.settle(empty); fault != "" {
			return fault
		}
		for version := 2; version < 5; version++ {
			old := s.set
			s.set = s.randomSet(version)
			if fault := s.settle(old); fault != "" {
				return fault
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestReplicasSpreadOverZones(t *testing.T) {
	for seed := range uint64(50) {
		s := newTestFleet(seed)
		for _, w := range assign(s.set, s.engines) {
			byZone := make(map[string]int)
			for _, e := range w.endpoints {
				byZone[e.Host.Zone]++
			}
			if want := min(3, len(w.endpoints)); len(byZone) != want {
				t.Errorf("seed %d: %d replicas of %s are spread over %d zones", seed, len(w.endpoints), w.service.Name, len(byZone))
			}
		}
	}
}

// TestUnresponsiveEngineBlocksUnloads checks that nothing is unloaded while an engine
// that is assigned to a service does not respond.
func TestUnresponsiveEngineBlocksUnloads(t *testing.T) {
	s := newTestFleet(1)
	if fault := s.settle(&objects.Set{}); fault != "" {
		t.Fatal(fault)
	}
	s.set = s.randomSet(2)
	for range 50 {
		s.execute(Plan(s.set, s.engines), true)
	}
	s.set = s.randomSet(3)
	for i := range s.engines {
		s.engines[i].State = nil
		for _, step := range Plan(s.set, s.engines) {
			if step.Endpoint.Name == s.engines[i].Host.Name {
				t.Errorf("planned %s of %s for an engine that does not respond", step.Kind, step.Artifact.Name)
			}
		}
	}
}
