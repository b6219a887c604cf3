package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

const (
	// soakSeries is how many series of faults run beside one another.
	soakSeries = 3
	// soakFaultTime and soakPauseTime bound a fault and the pause behind it.
	soakFaultTime = 2 * time.Second
	soakPauseTime = 1500 * time.Millisecond
)

// soakFault does harm to one part for a time, and undoes it.
type soakFault func(s *soak, r *rand.Rand, d time.Duration)

// soakFaults are all that may happen.
func soakFaults() []soakFault {
	return []soakFault{
		soakKill, soakTerminate, soakFreeze, soakReload, soakStoreOutage, soakStoreAnswers, soakStoreSlow, soakTrim,
		soakStoreLink, soakStoreLink, soakReplicaFault, soakReplicaFault, soakReplicaLink, soakConfigure, soakDrainReplica,
	}
}

// play runs one series of faults until the time is over.
func (s *soak) play(r *rand.Rand) {
	for !s.over() {
		d := time.Duration(r.Int64N(int64(soakFaultTime)))
		s.faults[r.IntN(len(s.faults))](s, r, d)
		time.Sleep(time.Duration(r.Int64N(int64(soakPauseTime))))
	}
}

// withGateway does harm to a gateway that no other fault has in hand.
func (s *soak) withGateway(r *rand.Rand, harm func(g *gateway)) {
	i := r.IntN(len(s.gateways))
	if s.inHand[i].TryLock() {
		defer s.inHand[i].Unlock()
		harm(s.gateways[i])
	}
}

// again starts a gateway again, and gives it time to be ready.
func (s *soak) again(g *gateway) {
	p := s.spawn(g)
	s.mu.Lock()
	g.process = p
	s.mu.Unlock()
	s.awaitListeningGateway(g)
}

func soakKill(s *soak, r *rand.Rand, d time.Duration) {
	s.withGateway(r, func(g *gateway) {
		g.kill()
		time.Sleep(d)
		s.again(g)
	})
}

func soakTerminate(s *soak, r *rand.Rand, d time.Duration) {
	s.withGateway(r, func(g *gateway) {
		g.stop()
		if code := g.cmd.ProcessState.ExitCode(); code != 0 {
			s.t.Errorf("%s ended with code %d", g.name, code)
		}
		time.Sleep(d)
		s.again(g)
	})
}

func soakFreeze(s *soak, r *rand.Rand, d time.Duration) {
	s.withGateway(r, func(g *gateway) {
		g.freeze()
		time.Sleep(d)
		g.thaw()
	})
}

func soakReload(s *soak, r *rand.Rand, _ time.Duration) {
	s.withGateway(r, func(g *gateway) { g.signal(syscall.SIGHUP) })
}

// storeFault plays a fault of the store, one at a time.
func (s *soak) storeFault(d time.Duration, f standin.StoreFaults) {
	if !s.storeInHand.TryLock() {
		return
	}
	defer s.storeInHand.Unlock()
	s.store.SetFaults(f)
	time.Sleep(d)
	s.store.SetFaults(standin.StoreFaults{})
}

func soakStoreOutage(s *soak, r *rand.Rand, d time.Duration) {
	ways := []standin.Outage{standin.OutageBusy, standin.OutageThrottled, standin.OutageReset, standin.OutageSilent}
	f := standin.StoreFaults{Outage: ways[r.IntN(len(ways))]}
	if r.IntN(2) == 0 {
		topics := []platform.Topic{platform.TopicJobs, platform.TopicHosts, platform.TopicEndpoints, platform.TopicPayloads}
		f.Topics = []string{topics[r.IntN(len(topics))].Name}
	}
	s.storeFault(d, f)
}

func soakStoreAnswers(s *soak, r *rand.Rand, d time.Duration) {
	f := standin.StoreFaults{LoseAnswers: 1 + r.IntN(6), LateMillis: int64(r.IntN(3)) * 400}
	if r.IntN(2) == 0 {
		f = standin.StoreFaults{LoseAppends: 1 + r.IntN(6)}
	}
	s.storeFault(d, f)
}

func soakStoreSlow(s *soak, r *rand.Rand, d time.Duration) {
	s.storeFault(d, standin.StoreFaults{SlowMillis: int64(20 + r.IntN(300))})
}

func soakTrim(s *soak, r *rand.Rand, _ time.Duration) {
	topics := []platform.Topic{platform.TopicJobs, platform.TopicHosts, platform.TopicEndpoints, platform.TopicOperator}
	s.store.Trim(standin.TrimRequest{Topic: topics[r.IntN(len(topics))].Name, Before: -1})
}

// linkFault fails a proxy for a time.
func linkFault(p *soakProxy, r *rand.Rand, d time.Duration) {
	p.set([]wire{wireCut, wireHeld}[r.IntN(2)])
	time.Sleep(d)
	p.set(wireOpen)
}

func soakStoreLink(s *soak, r *rand.Rand, d time.Duration) {
	linkFault(s.storeLinks[r.IntN(len(s.storeLinks))], r, d)
}

func soakReplicaLink(s *soak, r *rand.Rand, d time.Duration) {
	linkFault(s.replicaLinks[r.IntN(len(s.replicaLinks))], r, d)
}

func soakReplicaFault(s *soak, r *rand.Rand, d time.Duration) {
	replicas := append(append([]*standin.Replica(nil), s.engines...), s.plain...)
	invalid := rawhttp.InvalidStatuses()
	faults := []standin.ReplicaFaults{
		{Answer: &standin.Answer{Code: invalid[r.IntN(len(invalid))], Type: "text/event-stream", Body: "id: 1\ndata: no answer\n\n"}},
		{NotRun: true}, {EarlyNotRun: true}, {Status: http.StatusBadGateway}, {Status: http.StatusInternalServerError},
		{Silent: true}, {ResetBefore: true}, {Foreign: true},
		{Extra: true}, {Cut: true}, {Unframed: true}, {CutAfter: 1 + r.IntN(19)}, {SilentAfter: 1 + r.IntN(19)}, {SkipAfter: 1 + r.IntN(19)},
	}
	one := replicas[r.IntN(len(replicas))]
	one.SetFaults(faults[r.IntN(len(faults))])
	time.Sleep(d)
	one.SetFaults(standin.ReplicaFaults{})
}

// soakRoute is the path of the route that a version adds.
func soakRoute(version int) string { return fmt.Sprintf("/added-%d/", version) }

// soakConfigure publishes a version with a route of its own, and at times one over the path of a job that was accepted.
func soakConfigure(s *soak, r *rand.Rand, _ time.Duration) {
	shadow := ""
	if r != nil && r.IntN(2) == 0 {
		if j := s.newestJob(); j != nil {
			shadow = soakShadow(r, j)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.configure(s.version, fmt.Sprintf(`,%s,{"name":"added","host":"ficu95.example","path_prefix":%q,"kind":"safe",
"timeout_ms":9000,"service":"plain","max_attempts":2}%s`, soakOnceRoute, soakRoute(s.version), shadow))
}

// soakShadow returns a route with a longer prefix over the path of a job, of another kind or of a service without endpoints.
func soakShadow(r *rand.Rand, j *soakJob) string {
	kind := []string{"safe", "unsafe", "streaming", "batch"}[r.IntN(4)]
	service := "plain"
	if kind == "batch" {
		service = "nobody"
	}
	return fmt.Sprintf(`,{"name":"shadow","host":"ficu95.example","path_prefix":%q,"kind":%q,"timeout_ms":9000,"service":%q,"max_attempts":2,
"completion_window_ms":30000,"retention_s":60}`, "/lots-in/"+j.id+"/", kind, service)
}

func soakDrainReplica(s *soak, r *rand.Rand, d time.Duration) {
	i := r.IntN(len(s.engines))
	s.listThrough(i, "draining")
	time.Sleep(d)
	s.listThrough(i, "ready")
}

// heal ends all faults.
func (s *soak) heal() {
	s.store.SetFaults(standin.StoreFaults{})
	for _, p := range append(append([]*soakProxy(nil), s.storeLinks...), s.replicaLinks...) {
		p.set(wireOpen)
	}
	for _, r := range append(append([]*standin.Replica(nil), s.engines...), s.plain...) {
		r.SetFaults(standin.ReplicaFaults{})
	}
}

// locks is one lock for each part that one fault at a time may have in hand.
type locks []sync.Mutex
