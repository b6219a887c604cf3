package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

const (
	// soakGateways is the number of gateways of a soak.
	soakGateways = 4
	// soakTime is how long faults come, unless SOAK_SECONDS says another time.
	soakTime = 10 * time.Second
	// soakEvents is the length of each stream.
	soakEvents = 20
	// soakAttempts is max_attempts of the routes.
	soakAttempts = 2
	// soakJobAttempts is how many failures end an item.
	soakJobAttempts = 3
	// soakOnceRoute serves requests that may run once.
	soakOnceRoute = `{"name":"once","host":"ficu95.example","path_prefix":"/once/","kind":"at_most_once","timeout_ms":20000,
"target_latency_ms":1000,"service":"plain","max_attempts":2}`
)

// soak is a fleet under faults of all kinds, and what its callers saw.
type soak struct {
	*routedFleet
	until        time.Time
	storeLinks   []*soakProxy
	replicaLinks []*soakProxy
	// faults are all that may happen, and isOutput tells whether a text is the output of an item.
	faults   []soakFault
	isOutput func(item, text string) bool
	// inHand are the gateways, and storeInHand the store, that a fault has in hand.
	inHand      locks
	storeInHand sync.Mutex

	mu      sync.Mutex
	version int
	calls   []soakCall
	jobs    []*soakJob
	// replaced are the endpoints that others took the place of.
	replaced []*standin.Replica
}

// TestSoakRoutes serves all kinds of work while hosts are killed, shut down and
// frozen, links are cut, and the store and the endpoints fail in each way that they
// have. SOAK_SEEDS plays so many fresh seeds, SOAK_SEED one. The order of faults
// follows from the seed; how they meet the work does not.
func TestSoakRoutes(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { newSoak(t).run(seed) })
	}
}

func soakSeeds(t *testing.T) []uint64 {
	if text := os.Getenv("SOAK_SEED"); text != "" {
		return []uint64{uint64(soakNumber(t, text))}
	}
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		out := make([]uint64, soakNumber(t, text))
		for i := range out {
			out[i] = rand.Uint64N(1 << 48)
		}
		return out
	}
	return []uint64{1}
}

func soakNumber(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// soakLength returns how long faults come.
func soakLength(t *testing.T) time.Duration {
	if text := os.Getenv("SOAK_SECONDS"); text != "" {
		return time.Duration(soakNumber(t, text)) * time.Second
	}
	return soakTime
}

func newSoak(t *testing.T) *soak {
	t.Helper()
	s := &soak{routedFleet: &routedFleet{t: t, store: standin.NewStore(standin.StoreFaults{})}, version: 1, inHand: make(locks, soakGateways),
		faults: soakFaults(), isOutput: func(item, text string) bool { return text == wholeOutput(item, soakEvents) }}
	store := s.serveStore()
	for i := range 3 {
		r := s.replica(fmt.Sprintf("engine-%d", i), "engines", soakEvents)
		s.engines = append(s.engines, r)
		s.replicaLinks = append(s.replicaLinks, newSoakProxy(t, r.Address()))
		s.listThrough(i, "ready")
	}
	for i := range 3 {
		s.plain = append(s.plain, s.replica(fmt.Sprintf("plain-%d", i), "plain", 0))
	}
	soakConfigure(s, nil, 0)
	for i := range soakGateways {
		link := newSoakProxy(t, store)
		s.storeLinks = append(s.storeLinks, link)
		s.gateways = append(s.gateways, s.newGateway(fmt.Sprintf("host-%d", i), link.address()))
	}
	s.awaitReady(s.gateways...)
	return s
}

// listThrough writes the record of an engine with its proxy's address.
func (s *soak) listThrough(i int, state string) {
	s.store.Put(platform.TopicEndpoints.Name, s.engines[i].ID, fmt.Appendf(nil,
		`{"service":"engines","address":%q,"zone":"sk-central-a","version":"v1","slots":4,"state":%q,"cold_left_ms":0,"seq":1,"born":1}`,
		s.replicaLinks[i].address(), state))
}

// spawn starts a gateway's process again.
func (s *soak) spawn(g *gateway) *process {
	return s.processes.add(start(s.t, g.name, "peridotmountd", "routes", "--settings", g.file))
}

// awaitListeningGateway waits until a gateway answers, so that it handles signals.
func (s *soak) awaitListeningGateway(g *gateway) {
	deadline := time.Now().Add(patience)
	for statusOf(g.ready) == 0 {
		if time.Now().After(deadline) {
			s.t.Errorf("%s does not answer", g.name)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *soak) over() bool { return time.Now().After(s.until) }

// begin starts the time of a soak. It returns a function that starts duties, of which each has a name
// and random numbers of its own, and the group of all.
func (s *soak) begin(seed uint64) (*sync.WaitGroup, func(n int, duty func(name string, r *rand.Rand))) {
	s.until = time.Now().Add(soakLength(s.t))
	var duties sync.WaitGroup
	stream := uint64(0)
	return &duties, func(n int, duty func(name string, r *rand.Rand)) {
		for range n {
			stream++
			name, r := fmt.Sprintf("c%d", stream), rand.New(rand.NewPCG(seed, stream))
			duties.Go(func() { duty(name, r) })
		}
	}
}

// run plays a seed and checks what the callers saw.
func (s *soak) run(seed uint64) {
	duties, begin := s.begin(seed)
	begin(soakSeries, func(_ string, r *rand.Rand) { s.play(r) })
	begin(8, s.call)
	begin(2, s.submit)
	begin(2, func(_ string, r *rand.Rand) { s.poll(r) })
	duties.Wait()
	s.heal()
	s.awaitReady(s.gateways...)
	s.checkCalls()
	s.checkJobs()
	s.checkRoute()
}

// runs counts by request how often endpoints worked on it, those that were replaced too. s.mu must
// not be held.
func (s *soak) runs() map[string]int {
	s.mu.Lock()
	replicas := slices.Concat(s.engines, s.plain, s.replaced)
	s.mu.Unlock()
	out := make(map[string]int)
	for _, r := range replicas {
		for _, run := range r.Runs() {
			out[run.Request]++
		}
	}
	return out
}

func (s *soak) checkCalls() {
	runs, served := s.runs(), 0
	for i := range s.calls {
		c := &s.calls[i]
		if reason := c.check(runs[c.id]); reason != "" {
			s.t.Errorf("request %s of %s: %s: status %d, %d runs, error %v, body %q",
				c.id, c.path, reason, c.status, runs[c.id], c.err, c.body[:min(len(c.body), 200)])
		}
		if c.err == nil && c.status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		s.t.Errorf("none of %d requests was served", len(s.calls))
	}
	s.t.Logf("%d of %d requests were served", served, len(s.calls))
}

// checkJobs waits until every job that was accepted has all results, at every
// gateway, and checks that no other job ran that was refused.
func (s *soak) checkJobs() {
	accepted := 0
	for _, j := range s.jobs {
		if !j.accepted {
			continue
		}
		accepted++
		for _, g := range s.gateways {
			eventually(s.t, "results of "+j.id+" at "+g.name, func() bool { return s.readJob(j, g) == j.items })
		}
	}
	runs := s.runs()
	for _, j := range s.jobs {
		if item := j.id + "-0"; j.refused && runs[item] > 0 {
			s.t.Errorf("job %s was refused, and ran", j.id)
		}
	}
	s.t.Logf("%d of %d jobs were accepted", accepted, len(s.jobs))
}

// checkRoute waits until the newest configuration is in force everywhere.
func (s *soak) checkRoute() {
	for i, g := range s.gateways {
		eventually(s.t, "newest route at "+g.name, func() bool {
			return g.statusAt(soakRoute(s.version), fmt.Sprintf("newest-%d", i)) == http.StatusOK
		})
	}
}
