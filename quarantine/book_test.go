package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmount/peridotmount/dispatch"
)

const poison dispatch.Fingerprint = 1

const (
	harmlessCount = 6
	hostCount     = 3
	endpointCount = 4
)

// simulation simulates hosts that exchange the notices of a crash before any request
// is retried, as Guard does with the reachable hosts.
type simulation struct {
	rand      *rand.Rand
	now       time.Time
	trackers  []*Tracker
	granted   *permitTable
	endpoints []EndpointRun
	inFlight  []runningRequest
	waiting   []dispatch.Fingerprint
	// crashes counts the endpoint deaths, answered the complete responses.
	crashes, answered int
	harmlessRefused   bool
	refusals          int
}

// runningRequest is a request in progress.
type runningRequest struct {
	fingerprint dispatch.Fingerprint
	host        int
	endpoint    int
	alone       bool
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rand:    rand.New(rand.NewPCG(seed, 0)),
		now:     time.Unix(1000, 0),
		granted: newPermitTable(),
	}
	for range hostCount {
		sim.trackers = append(sim.trackers, NewTracker(TrackerOptions{TTL: time.Hour, Capacity: 100}))
	}
	for i := range endpointCount {
		sim.endpoints = append(sim.endpoints, EndpointRun{Endpoint: fmt.Sprint(i), Incarnation: 1})
	}
	for i := range harmlessCount {
		sim.waiting = append(sim.waiting, poison+1+dispatch.Fingerprint(i))
	}
	sim.waiting = append(sim.waiting, poison)
	return sim
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Millisecond)
	if len(sim.inFlight) > 0 && sim.rand.IntN(2) == 0 {
		sim.end(sim.rand.IntN(len(sim.inFlight)))
		return
	}
	if len(sim.waiting) > 0 {
		sim.send(sim.rand.IntN(len(sim.waiting)))
	}
}

func (sim *simulation) runningAt(endpoint int) (count int, alone bool) {
	for _, running := range sim.inFlight {
		if running.endpoint == endpoint {
			count++
			alone = alone || running.alone
		}
	}
	return count, alone
}

// send sends the i-th waiting request to a random host and endpoint, where it runs if
// the host's tracker and the requests running there allow it.
func (sim *simulation) send(i int) {
	f := sim.waiting[i]
	host, endpoint := sim.rand.IntN(hostCount), sim.rand.IntN(endpointCount)
	count, reserved := sim.runningAt(endpoint)
	verdict := sim.trackers[host].Check(f, sim.now)
	alone := verdict == dispatch.Exclusive
	switch {
	case verdict == dispatch.Quarantined:
		// The request keeps waiting: its caller retries it in spite of the refusal.
		sim.harmlessRefused = sim.harmlessRefused || f != poison
		sim.refusals++
		return
	case reserved, alone && count > 0:
		return
	case alone && sim.runsAlone(f, host):
		return
	case alone && !sim.granted.acquire(f, fmt.Sprint(host), sim.now):
		return
	}
	sim.trackers[host].Started(f, sim.endpoints[endpoint])
	sim.inFlight = append(sim.inFlight, runningRequest{fingerprint: f, host: host, endpoint: endpoint, alone: alone})
	sim.waiting = append(sim.waiting[:i], sim.waiting[i+1:]...)
}

// runsAlone reports whether a host already runs a suspect alone.
func (sim *simulation) runsAlone(f dispatch.Fingerprint, host int) bool {
	for _, running := range sim.inFlight {
		if running.fingerprint == f && running.host == host && running.alone {
			return true
		}
	}
	return false
}

func (sim *simulation) end(i int) {
	running := sim.inFlight[i]
	if running.fingerprint == poison {
		sim.crash(running.endpoint)
		return
	}
	sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	tracker := sim.trackers[running.host]
	sim.broadcast(tracker.Answered(running.fingerprint, running.alone, sim.now))
	sim.broadcast(tracker.Ended(running.fingerprint, sim.endpoints[running.endpoint], false, running.alone, sim.now))
	sim.granted.release(running.fingerprint, fmt.Sprint(running.host))
	sim.answered++
	// The same request is sent again, until the simulation ends.
	sim.waiting = append(sim.waiting, running.fingerprint)
}

// crash ends all requests at an endpoint, which are then retried, and restarts it.
func (sim *simulation) crash(endpoint int) {
	sim.crashes++
	if sim.crashes == 1 {
		// From the first crash on, the caller sends two copies of the request.
		sim.waiting = append(sim.waiting, poison)
	}
	var kept []runningRequest
	for _, running := range sim.inFlight {
		if running.endpoint != endpoint {
			kept = append(kept, running)
			continue
		}
		sim.broadcast(sim.trackers[running.host].Ended(running.fingerprint, sim.endpoints[endpoint], true, running.alone, sim.now))
		sim.granted.release(running.fingerprint, fmt.Sprint(running.host))
		sim.waiting = append(sim.waiting, running.fingerprint)
	}
	sim.inFlight = kept
	sim.endpoints[endpoint].Incarnation++
}

func (sim *simulation) broadcast(notices []Notice) {
	for _, tracker := range sim.trackers {
		for _, n := range notices {
			tracker.Apply(n, sim.now)
		}
	}
}

// TestPoisonCostsTwoCrashes sends a request that crashes every endpoint it runs on. It
// may cost one crash among others and one alone, however the requests interleave, and
// no other request may be convicted.
func TestPoisonCostsTwoCrashes(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(6)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	properties.Property("at most two crashes, and the other requests are answered", prop.ForAll(func(seed uint64) string {
		sim := newSimulation(seed)
		for range 600 {
			sim.step()
		}
		switch {
		case sim.crashes > 2:
			return fmt.Sprintf("%d crashes", sim.crashes)
		case sim.harmlessRefused:
			return "a harmless request was refused"
		case sim.answered < harmlessCount || sim.crashes < 2 || sim.refusals == 0:
			return fmt.Sprintf("the simulation was too short: %d answers, %d crashes, %d refusals", sim.answered, sim.crashes, sim.refusals)
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestPermitHasOneHolder(t *testing.T) {
	p := newPermitTable()
	now := time.Unix(1000, 0)
	if !p.acquire(1, "a", now) || p.acquire(1, "b", now) || !p.acquire(2, "b", now) {
		t.Error("a permit was granted to two hosts, or refused for another request")
	}
	p.release(1, "b")
	if p.acquire(1, "b", now) {
		t.Error("a host released a permit that another host holds")
	}
	p.release(1, "a")
	if !p.acquire(1, "b", now) || !p.acquire(1, "a", now.Add(permitTTL)) {
		t.Error("a released or expired permit was not granted to another host")
	}
}

func TestBookIsBounded(t *testing.T) {
	tracker := NewTracker(TrackerOptions{TTL: time.Minute, Capacity: 10})
	now := time.Unix(1000, 0)
	for i := range 100 {
		now = now.Add(time.Second)
		tracker.Apply(Notice{Fingerprint: dispatch.Fingerprint(i), Status: Suspect, At: now}, now)
	}
	if len(tracker.notices) > 10 || tracker.Check(99, now) != dispatch.Exclusive {
		t.Errorf("%d notices kept, want at most 10; verdict on the newest suspect is %v", len(tracker.notices), tracker.Check(99, now))
	}
	if got := tracker.Check(99, now.Add(time.Minute)); got != dispatch.Unrestricted {
		t.Errorf("verdict on a suspect after its TTL is %v", got)
	}
}

// TestLateNoticesLoseNothing delivers notices in random order and twice each. A
// conviction must hold even if other notices arrive after it.
func TestLateNoticesLoseNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	notices := []Notice{
		{Fingerprint: 1, Status: Suspect, At: now},
		{Fingerprint: 1, Status: Cleared, At: now.Add(time.Second)},
		{Fingerprint: 1, Status: Suspect, At: now.Add(2 * time.Second)},
		{Fingerprint: 1, Status: Convicted, At: now.Add(time.Second)},
	}
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 0))
		tracker := NewTracker(TrackerOptions{TTL: time.Minute, Capacity: 10})
		for _, i := range append(r.Perm(len(notices)), r.Perm(len(notices))...) {
			tracker.Apply(notices[i], now)
		}
		if got := tracker.Check(1, now); got != dispatch.Quarantined {
			t.Errorf("seed %d: verdict %v", seed, got)
		}
	}
}
