package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

const (
	// stableWindow is stable_window_ms of the users' platform: from so long after its cut
	// began, a host that reaches no endpoint serves its callers as well as the others do.
	stableWindow = 3 * time.Second
	// strandedGateways is the number of hosts of these tests, strandedEvents the length of a
	// stream.
	strandedGateways = 4
	strandedEvents   = 20
	// strandedObjective is target_latency_ms of the routes, strandedPatience how long a
	// caller waits.
	strandedObjective = time.Second
	strandedPatience  = 3 * time.Second
	// strandedAttempts is max_attempts of the routes.
	strandedAttempts = 2
)

const strandedConfiguration = `{"version":1,"routes":[
 {"name":"stream","host":"ficu95.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":20000,"target_latency_ms":1000,
  "service":"engines","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300},
 {"name":"single","host":"ficu95.example","path_prefix":"/single/","kind":"streaming","timeout_ms":20000,"target_latency_ms":1000,
  "service":"engines","max_attempts":2,"sticky":true,"gap_aim_ms":300},
 {"name":"lots","host":"ficu95.example","path_prefix":"/lots-in/","kind":"batch","timeout_ms":20000,"target_latency_ms":1000,
  "service":"engines","max_attempts":3,"sticky":true,"resumable":true,"completion_window_ms":10000,"retention_s":60,"cap":100000},
 {"name":"check","host":"ficu95.example","path_prefix":"/check/","kind":"safe","timeout_ms":20000,"target_latency_ms":1000,
  "service":"plain","max_attempts":2},
 {"name":"once","host":"ficu95.example","path_prefix":"/once/","kind":"unsafe","timeout_ms":20000,"target_latency_ms":1000,
  "service":"plain","max_attempts":2},
 {"name":"unframed","host":"ficu95.example","path_prefix":"/unframed/","kind":"safe","timeout_ms":20000,"target_latency_ms":1000,
  "service":"unframed","max_attempts":2}],
 "services":[{"name":"engines","max_conns":200,"engine":{"slots":4,"kv_capacity":100000,"stride":6}},
  {"name":"plain","max_conns":100},{"name":"unframed","max_conns":100}],
 "limits":{"max_body_bytes":4194304}}`

// strandedFleet is a fleet in which each host has links of its own to the endpoints.
type strandedFleet struct {
	*routedFleet
	// unframed answer without a length.
	unframed []*standin.Replica
	// hosts are the gateways; the one that schedules is the first.
	hosts []*linkedHost
	// number tells the addresses of this fleet from those of others.
	number byte
	// beginner is the host at which streams begin that are taken up elsewhere.
	beginner *linkedHost
}

// linkedHost is a gateway with its links to the endpoints.
type linkedHost struct {
	*gateway
	// source is the address that endpoints see of it.
	source string
	links  map[string]*hostLink
}

// strandedFleets counts the fleets of this kind; strandedSlots bounds those that run at a time,
// as a machine that is short of processor time serves nobody in time.
var (
	strandedFleets atomic.Uint32
	strandedSlots  = make(chan struct{}, 3)
)

// sourceOf returns the loopback address that endpoints see of a host of a fleet.
func sourceOf(fleet byte, host int) net.IP { return net.IPv4(127, 1, fleet, byte(2+host)) }

func newStrandedFleet(t *testing.T) *strandedFleet {
	t.Helper()
	strandedSlots <- struct{}{}
	t.Cleanup(func() { <-strandedSlots })
	number := byte(strandedFleets.Add(1))
	f := &strandedFleet{number: number, routedFleet: &routedFleet{t: t, store: standin.NewStore(standin.StoreFaults{})}}
	for i := range 3 {
		r := f.replica(fmt.Sprintf("engine-%d", i), "engines", strandedEvents)
		r.SetFaults(standin.ReplicaFaults{Announced: true})
		f.engines = append(f.engines, r)
	}
	for i := range 2 {
		f.plain = append(f.plain, f.replica(fmt.Sprintf("plain-%d", i), "plain", 0))
		r := f.replica(fmt.Sprintf("unframed-%d", i), "unframed", 0)
		r.SetFaults(standin.ReplicaFaults{Unframed: true})
		f.unframed = append(f.unframed, r)
	}
	f.store.Put(platform.TopicOperator.Name, platform.KeyConfiguration, []byte(strandedConfiguration))
	for i := range strandedGateways {
		h := f.newHost(i)
		f.hosts, f.gateways = append(f.hosts, h), append(f.gateways, h.gateway)
	}
	f.awaitReady(f.gateways...)
	f.awaitLedger()
	f.awaitScheduler()
	return f
}

// newHost starts a gateway that follows the store through a view of its own, in which the
// endpoints are at its links.
func (f *strandedFleet) newHost(i int) *linkedHost {
	f.t.Helper()
	source := sourceOf(f.number, i)
	h := &linkedHost{source: source.String(), links: make(map[string]*hostLink)}
	target := make(map[string]string)
	for _, r := range f.endpoints() {
		h.links[r.ID], target[r.ID] = newHostLink(f.t, r.Address(), source), r.Address()
	}
	view := f.serve(f.store.View(func(topic, key string, value []byte) []byte {
		if link := h.links[key]; link != nil && topic == platform.TopicEndpoints.Name {
			return bytes.ReplaceAll(value, []byte(target[key]), []byte(link.address))
		}
		return value
	}))
	h.gateway = f.newGateway(fmt.Sprintf("host-%d", i), view)
	return h
}

func (f *strandedFleet) endpoints() []*standin.Replica {
	out := append([]*standin.Replica(nil), f.engines...)
	return append(append(out, f.plain...), f.unframed...)
}

// awaitScheduler waits until all hosts have elected the same scheduler, and puts it first.
func (f *strandedFleet) awaitScheduler() {
	f.t.Helper()
	eventually(f.t, "one scheduler", func() bool {
		first := -1
		for i, h := range f.hosts {
			name := h.scheduler()
			if name != f.hosts[0].scheduler() {
				return false
			}
			if name == h.name {
				first = i
			}
		}
		if first < 0 {
			return false
		}
		f.hosts[0], f.hosts[first] = f.hosts[first], f.hosts[0]
		f.beginner = f.hosts[0]
		return true
	})
}

// scheduler returns the host that a gateway elected last, by its log.
func (g *gateway) scheduler() string {
	data, err := os.ReadFile(g.log.Name())
	if err != nil {
		return ""
	}
	name := ""
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		var line struct{ Event, Scheduler string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "scheduler_elected" {
			name = line.Scheduler
		}
	}
	return name
}

// cut takes a host's links to all endpoints away.
func (h *linkedHost) cut(manner cutManner) {
	for _, link := range h.links {
		link.cut(manner)
	}
}

func (h *linkedHost) heal() {
	for _, link := range h.links {
		link.heal()
	}
}

// runOf is one run of a request at an endpoint.
type runOf struct {
	standin.ReplicaRun
	at *standin.Replica
}

// runsOf returns the runs of all requests.
func (f *strandedFleet) runsOf() map[string][]runOf {
	out := make(map[string][]runOf)
	for _, r := range f.endpoints() {
		for _, run := range r.Runs() {
			out[run.Request] = append(out[run.Request], runOf{run, r})
		}
	}
	return out
}

// sender returns the host that sent a run to its endpoint.
func (f *strandedFleet) sender(run runOf) *linkedHost {
	for _, h := range f.hosts {
		if h.source == run.From {
			return h
		}
	}
	f.t.Fatalf("run of %s came from %s", run.Request, run.From)
	return nil
}
