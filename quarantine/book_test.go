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
	// crashes counts the endpoint deaths, answered the complete answers.
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
	r := &simulation{
		rand:    rand.New(rand.NewPCG(seed, 0)),
		now:     time.Unix(1000, 0),
		granted: newPermitTable(),
	}
	for range hostCount {
		r.trackers = append(r.trackers, NewTracker(BookOptions{TTL: time.Hour, Capacity: 100}))
	}
	for i := range endpointCount {
		r.endpoints = append(r.endpoints, EndpointRun{Endpoint: fmt.Sprint(i), Incarnation: 1})
	}
	for i := range harmlessCount {
		r.waiting = append(r.waiting, poison+1+dispatch.Fingerprint(i))
	}
	r.waiting = append(r.waiting, poison)
	return r
}

func (r *simulation) step() {
	r.now = r.now.Add(time.Millisecond)
	if len(r.inFlight) > 0 && r.rand.IntN(2) == 0 {
		r.end(r.rand.IntN(len(r.inFlight)))
		return
	}
	if len(r.waiting) > 0 {
		r.send(r.rand.IntN(len(r.waiting)))
	}
}

func (r *simulation) runningAt(endpoint int) (count int, alone bool) {
	for _, fl := range r.inFlight {
		if fl.endpoint == endpoint {
			count++
			alone = alone || fl.alone
		}
	}
	return count, alone
}

// send sends the i-th waiting request to a random host and endpoint, where it runs if
// the host's tracker and the requests running there allow it.
func (r *simulation) send(i int) {
	f := r.waiting[i]
	host, endpoint := r.rand.IntN(hostCount), r.rand.IntN(endpointCount)
	count, reserved := r.runningAt(endpoint)
	verdict := r.trackers[host].Check(f, r.now)
	alone := verdict == dispatch.Alone
	switch {
	case verdict == dispatch.Convicted:
		// The request keeps waiting: its caller retries it in spite of the refusal.
		r.harmlessRefused = r.harmlessRefused || f != poison
		r.refusals++
		return
	case reserved, alone && count > 0:
		return
	case alone && r.runsAlone(f, host):
		return
	case alone && !r.granted.acquire(f, fmt.Sprint(host), r.now):
		return
	}
	r.trackers[host].Started(f, r.endpoints[endpoint])
	r.inFlight = append(r.inFlight, runningRequest{fingerprint: f, host: host, endpoint: endpoint, alone: alone})
	r.waiting = append(r.waiting[:i], r.waiting[i+1:]...)
}

// runsAlone reports whether a host already runs a suspect alone.
func (r *simulation) runsAlone(f dispatch.Fingerprint, host int) bool {
	for _, fl := range r.inFlight {
		if fl.fingerprint == f && fl.host == host && fl.alone {
			return true
		}
	}
	return false
}

func (r *simulation) end(i int) {
	fl := r.inFlight[i]
	if fl.fingerprint == poison {
		r.crash(fl.endpoint)
		return
	}
	r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
	tracker := r.trackers[fl.host]
	r.broadcast(tracker.Answered(fl.fingerprint, fl.alone, r.now))
	r.broadcast(tracker.Ended(fl.fingerprint, r.endpoints[fl.endpoint], false, fl.alone, r.now))
	r.granted.release(fl.fingerprint, fmt.Sprint(fl.host))
	r.answered++
	// The same request is sent again, until the simulation ends.
	r.waiting = append(r.waiting, fl.fingerprint)
}

// crash ends all requests at an endpoint, which are then retried, and restarts it.
func (r *simulation) crash(endpoint int) {
	r.crashes++
	if r.crashes == 1 {
		// From the first crash on, the caller sends two copies of the request.
		r.waiting = append(r.waiting, poison)
	}
	var kept []runningRequest
	for _, fl := range r.inFlight {
		if fl.endpoint != endpoint {
			kept = append(kept, fl)
			continue
		}
		r.broadcast(r.trackers[fl.host].Ended(fl.fingerprint, r.endpoints[endpoint], true, fl.alone, r.now))
		r.granted.release(fl.fingerprint, fmt.Sprint(fl.host))
		r.waiting = append(r.waiting, fl.fingerprint)
	}
	r.inFlight = kept
	r.endpoints[endpoint].Incarnation++
}

func (r *simulation) broadcast(notices []Notice) {
	for _, tracker := range r.trackers {
		for _, n := range notices {
			tracker.Apply(n, r.now)
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
		r := newSimulation(seed)
		for range 600 {
			r.step()
		}
		switch {
		case r.crashes > 2:
			return fmt.Sprintf("%d crashes", r.crashes)
		case r.harmlessRefused:
			return "a harmless request was refused"
		case r.answered < harmlessCount || r.crashes < 2 || r.refusals == 0:
			return fmt.Sprintf("the simulation was too short: %d answers, %d crashes, %d refusals", r.answered, r.crashes, r.refusals)
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
	b := NewTracker(BookOptions{TTL: time.Minute, Capacity: 10})
	now := time.Unix(1000, 0)
	for i := range 100 {
		now = now.Add(time.Second)
		b.Apply(Notice{Fingerprint: dispatch.Fingerprint(i), Status: Suspect, At: now}, now)
	}
	if len(b.notices) > 10 || b.Check(99, now) != dispatch.Alone {
		t.Errorf("%d notices kept, want at most 10; verdict on the newest suspect is %v", len(b.notices), b.Check(99, now))
	}
	if got := b.Check(99, now.Add(time.Minute)); got != dispatch.Free {
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
		b := NewTracker(BookOptions{TTL: time.Minute, Capacity: 10})
		for _, i := range append(r.Perm(len(notices)), r.Perm(len(notices))...) {
			b.Apply(notices[i], now)
		}
		if got := b.Check(1, now); got != dispatch.Convicted {
			t.Errorf("seed %d: verdict %v", seed, got)
		}
	}
}
