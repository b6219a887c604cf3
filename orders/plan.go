package orders

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// Endpoint is an engine and the state that it reported.
type Endpoint struct {
	Host platform.Host
	// State is nil if the engine did not respond.
	State *engine.State
}

// Step is one order to one engine.
type Step struct {
	Endpoint platform.Host
	Kind     engine.OrderKind
	Artifact engine.Artifact
}

// assignment lists the endpoints of a service and the artifacts each must have loaded.
type assignment struct {
	service   *objects.Service
	artifacts []engine.Artifact
	endpoints []*Endpoint
}

// Plan returns the orders that move the engines towards the set. All hosts that read
// the same set and host list assign the same endpoints. Loads come first. An artifact
// that is no longer wanted is unloaded only when every endpoint of every service of
// its model has loaded the artifacts that the service requires, so that a version is
// never unloaded before its successor is available.
func Plan(set *objects.Set, engines []Endpoint) []Step {
	assignments := assign(set, engines)
	wanted := make(map[string]map[engine.Artifact]bool)
	incomplete := make(map[string]bool)
	var loads []Step
	for i := range assignments {
		asg := &assignments[i]
		for _, e := range asg.endpoints {
			if e.State == nil {
				incomplete[asg.service.Model] = true
			}
			loads = append(loads, asg.loads(e, wanted, incomplete)...)
		}
	}
	return append(loads, unloads(engines, wanted, incomplete)...)
}

// loads adds the artifacts that asg requires to wanted and returns load orders for those
// that the endpoint lacks. It marks the model as incomplete if the endpoint lacks any.
func (asg *assignment) loads(e *Endpoint, wanted map[string]map[engine.Artifact]bool, incomplete map[string]bool) []Step {
	if wanted[e.Host.Name] == nil {
		wanted[e.Host.Name] = make(map[engine.Artifact]bool)
	}
	var out []Step
	for _, a := range asg.artifacts {
		alreadyWanted := wanted[e.Host.Name][a]
		wanted[e.Host.Name][a] = true
		if e.State == nil || hasArtifact(e.State, a) {
			continue
		}
		incomplete[asg.service.Model] = true
		if !alreadyWanted {
			out = append(out, Step{Endpoint: e.Host, Kind: engine.OrderLoad, Artifact: a})
		}
	}
	return out
}

func unloads(engines []Endpoint, wanted map[string]map[engine.Artifact]bool, incomplete map[string]bool) []Step {
	var out []Step
	for i := range engines {
		e := &engines[i]
		if e.State == nil {
			continue
		}
		for _, a := range e.State.Artifacts {
			if !wanted[e.Host.Name][a] && !incomplete[a.Model] {
				out = append(out, Step{Endpoint: e.Host, Kind: engine.OrderUnload, Artifact: a})
			}
		}
	}
	return out
}

func hasArtifact(s *engine.State, a engine.Artifact) bool {
	for _, have := range s.Artifacts {
		if have == a {
			return true
		}
	}
	return false
}

// assign selects the endpoints of each service: round-robin over the zones, and
// within a zone those with the fewest services first, ties broken by rendezvous
// hashing. It ignores what is loaded, so that executing the orders never changes
// the assignment.
func assign(set *objects.Set, engines []Endpoint) []assignment {
	counts := make(map[string]int)
	var out []assignment
	for _, name := range modelServiceNames(set) {
		s := set.Services[name]
		asg := assignment{service: s, artifacts: artifactsOf(s)}
		byZone := eligibleByZone(s, engines)
		for _, zone := range byZone {
			sortByPreference(s.Name, zone, counts)
		}
		asg.endpoints = pickRoundRobin(byZone, s.Replicas)
		for _, e := range asg.endpoints {
			counts[e.Host.Name]++
		}
		out = append(out, asg)
	}
	return out
}

func modelServiceNames(set *objects.Set) []string {
	var out []string
	for name, s := range set.Services {
		if s.Kind == objects.ServiceModel {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func artifactsOf(s *objects.Service) []engine.Artifact {
	out := []engine.Artifact{{Kind: engine.ArtifactVersion, Model: s.Model, Name: s.Version}}
	for _, a := range s.Adapters {
		out = append(out, engine.Artifact{Kind: engine.ArtifactAdapter, Model: s.Model, Name: a})
	}
	return out
}

// eligibleByZone returns the endpoints that a service may use, grouped by zone, with
// the zones ordered by rendezvous hashing.
func eligibleByZone(s *objects.Service, engines []Endpoint) [][]*Endpoint {
	byZone := make(map[string][]*Endpoint)
	var zones []string
	for i := range engines {
		zone := engines[i].Host.Zone
		if len(s.Zones) > 0 && !contains(s.Zones, zone) {
			continue
		}
		if byZone[zone] == nil {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], &engines[i])
	}
	sort.Slice(zones, func(i, j int) bool { return rendezvousScore(s.Name, zones[i]) > rendezvousScore(s.Name, zones[j]) })
	out := make([][]*Endpoint, len(zones))
	for i, zone := range zones {
		out[i] = byZone[zone]
	}
	return out
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func sortByPreference(service string, zone []*Endpoint, counts map[string]int) {
	sort.Slice(zone, func(i, j int) bool {
		a, b := zone[i].Host.Name, zone[j].Host.Name
		if counts[a] != counts[b] {
			return counts[a] < counts[b]
		}
		return rendezvousScore(service, a) > rendezvousScore(service, b)
	})
}

func rendezvousScore(service, name string) uint64 {
	return xxhash.Sum64String(service + "\x00" + name)
}

func pickRoundRobin(zones [][]*Endpoint, replicas int) []*Endpoint {
	var out []*Endpoint
	for rank := 0; len(out) < replicas; rank++ {
		added := false
		for _, zone := range zones {
			if rank < len(zone) && len(out) < replicas {
				added = true
				out = append(out, zone[rank])
			}
		}
		if !added {
			return out
		}
	}
	return out
}
