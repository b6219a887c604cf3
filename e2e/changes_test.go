package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

const (
	// changesTime is how long configurations change, unless SOAK_SECONDS says another time.
	changesTime = 6 * time.Second
	// changeInterval is the time between two versions, and between two SIGHUPs.
	changeInterval = 100 * time.Millisecond
	// changesCallers is the number of callers, each with kept connections of its own.
	changesCallers = 24
	// changesSlots is the number of slots of an engine: few, so that requests wait for one.
	changesSlots = 2
	// silence is how long an endpoint or a host is silent, silenceInterval the time between
	// two of them.
	silence         = 1500 * time.Millisecond
	silenceInterval = 2 * time.Second
)

// changesConfiguration is a version of the configuration: streams that can be resumed and
// streams that can't, idempotent requests and requests that run once. Their services, their
// time-outs and the priority change under them, and routes come and go.
const changesConfiguration = `{"version":%d,"routes":[
 {"name":"stream","host":"ficu95.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":%[2]d,"target_latency_ms":1000,
  "priority":%[4]d,"service":"engines","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300},
 {"name":"lots","host":"ficu95.example","path_prefix":"/lots-in/","kind":"batch","timeout_ms":20000,"target_latency_ms":1000,
  "service":"engines","max_attempts":3,"sticky":true,"resumable":true,"completion_window_ms":30000,"retention_s":60,"cap":0},
 {"name":"check","host":"ficu95.example","path_prefix":"/check/","kind":"safe","timeout_ms":%[2]d,"target_latency_ms":1000,
  "service":"%[3]s","max_attempts":2},
 {"name":"once","host":"ficu95.example","path_prefix":"/once/","kind":"at_most_once","timeout_ms":%[2]d,"target_latency_ms":1000,
  "service":"%[3]s","max_attempts":2}%[5]s],
 "services":[{"name":"engines","max_conns":200,"engine":{"slots":%[6]d,"kv_capacity":100000,"stride":6}},
  {"name":"spare","max_conns":200,"engine":{"slots":2,"kv_capacity":100000,"stride":6}},{"name":"plain","max_conns":100},
  {"name":"other","max_conns":100}],
 "limits":{"max_body_bytes":4194304}}`

// changes is a fleet whose configuration changes all the time.
type changes struct {
	*routedFleet
	until time.Time
	// restarting is set if hosts are shut down and started again in turn.
	restarting bool

	mu       sync.Mutex
	answered map[int]int
	// crossed counts the requests that crossed the close of a host that shut down.
	crossed int
	slowest time.Duration
}

// TestEveryWholeRequestIsAnsweredBesideChanges changes the configuration and sends SIGHUP to
// all hosts ten times a second, while endpoints and hosts fall silent and go on. Callers
// send bodies with a length, in chunks and slowly, on kept connections, which no host may
// close. SOAK_SEEDS, SOAK_SEED and SOAK_SECONDS are those of TestSoakRoutes.
func TestEveryWholeRequestIsAnsweredBesideChanges(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { newChanges(t).run(seed) })
	}
}

// TestEveryWholeRequestIsAnsweredBesideRestarts does the same while hosts are shut down by
// SIGTERM and started again, one after the other.
func TestEveryWholeRequestIsAnsweredBesideRestarts(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			c := newChanges(t)
			c.restarting = true
			c.run(seed)
		})
	}
}

func newChanges(t *testing.T) *changes {
	t.Helper()
	c := &changes{routedFleet: &routedFleet{t: t, store: standin.NewStore(standin.StoreFaults{})}, answered: make(map[int]int)}
	c.storeAddress = c.serveStore()
	for i := range 4 {
		r := c.replica(fmt.Sprintf("engine-%d", i), []string{"engines", "spare"}[i%2], soakEvents)
		r.SetFaults(standin.ReplicaFaults{Announced: true})
		c.store.Put(platform.TopicEndpoints.Name, r.ID, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"sk-central-a","version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"seq":1,"born":1}`,
			[]string{"engines", "spare"}[i%2], r.Address(), changesSlots))
		c.engines = append(c.engines, r)
	}
	for i := range 4 {
		c.plain = append(c.plain, c.replica(fmt.Sprintf("plain-%d", i), []string{"plain", "other"}[i%2], 0))
	}
	c.publish(1)
	for i := range 3 {
		c.gateways = append(c.gateways, c.newGateway(fmt.Sprintf("host-%d", i), c.storeAddress))
	}
	c.awaitReady(c.gateways...)
	c.awaitLedger()
	return c
}

// publish writes a version of the configuration.
func (c *changes) publish(version int) {
	services := [][]string{{"plain", "engines"}, {"other", "spare"}}[version/2%2]
	coming := ""
	if version%8 > 0 {
		coming = fmt.Sprintf(`,{"name":"single","host":"ficu95.example","path_prefix":"/single/","kind":"streaming","timeout_ms":%d,
"target_latency_ms":1000,"service":%q,"max_attempts":1,"sticky":true,"gap_aim_ms":300}`, []int{9000, 20000}[version%2], services[1])
	}
	if version%3 == 0 {
		coming += `,{"name":"coming","host":"ficu95.example","path_prefix":"/coming/","kind":"safe","timeout_ms":9000,"service":"plain","max_attempts":2}`
	}
	c.store.Put(platform.TopicOperator.Name, platform.KeyConfiguration, fmt.Appendf(nil, changesConfiguration,
		version, []int{20000, 9000}[version%2], services[0], version/4%2, coming, changesSlots+version/8%2))
}

// run changes the configuration under callers for some time, and checks what they got.
func (c *changes) run(seed uint64) {
	length := changesTime
	if text := os.Getenv("SOAK_SECONDS"); text != "" {
		length = time.Duration(soakNumber(c.t, text)) * time.Second
	}
	c.until = time.Now().Add(length)
	var duties sync.WaitGroup
	duties.Go(c.change)
	duties.Go(func() { c.fallSilent(rand.New(rand.NewPCG(seed, 0))) })
	if c.restarting {
		duties.Go(c.restartInTurn)
	}
	for i := range changesCallers {
		caller := &keptCaller{changes: c, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(seed, uint64(i+1)))}
		duties.Go(caller.run)
	}
	duties.Wait()
	c.awaitReady(c.gateways...)
	c.checkIncomplete()
	total := 0
	for _, n := range c.answered {
		total += n
	}
	c.t.Logf("answers by status: %v, %d crossed a close; the slowest came %s behind its request",
		c.answered, c.crossed, c.slowest.Round(time.Millisecond))
	if ok := c.answered[http.StatusOK] + c.answered[http.StatusAccepted]; ok < total/4 || total == 0 {
		c.t.Errorf("%d of %d requests were served", ok, total)
	}
}

// checkIncomplete checks that no host counted a request without a complete answer.
func (c *changes) checkIncomplete() {
	for _, g := range c.gateways {
		resp, err := http.Get(strings.TrimSuffix(g.ready, "/ready") + "/metrics")
		if err != nil {
			c.t.Error(err)
			continue
		}
		metrics, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			c.t.Error(err)
		}
		for _, line := range strings.Split(string(metrics), "\n") {
			if strings.HasPrefix(line, "peridotmount_route_incomplete_requests_total{") {
				c.t.Errorf("%s: %s", g.name, line)
			}
		}
	}
}

// change publishes versions and sends SIGHUP until the time is over.
func (c *changes) change() {
	for version := 2; time.Now().Before(c.until); version++ {
		c.publish(version)
		time.Sleep(changeInterval / 2)
		c.hangUp()
		time.Sleep(changeInterval / 2)
	}
}

// restartInTurn shuts hosts down and starts them again until the time is over.
func (c *changes) restartInTurn() {
	for n := 0; time.Now().Before(c.until); n++ {
		g := c.gateways[n%len(c.gateways)]
		g.stop()
		if code := g.cmd.ProcessState.ExitCode(); code != 0 {
			c.t.Errorf("%s ended: %s", g.name, g.cmd.ProcessState)
		}
		p := start(c.t, g.name, "peridotmountd", "routes", "--settings", g.file)
		for statusOf(g.ready) != http.StatusOK && time.Now().Before(c.until.Add(patience)) {
			time.Sleep(5 * time.Millisecond)
		}
		// From here on it handles signals.
		c.mu.Lock()
		g.process = p
		c.mu.Unlock()
	}
}

// hangUp sends SIGHUP to all hosts.
func (c *changes) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.gateways {
		g.signal(syscall.SIGHUP)
	}
}

// fallSilent lets an endpoint, and by turns a host, fall silent and go on, until the time is
// over.
func (c *changes) fallSilent(r *rand.Rand) {
	replicas := append(append([]*standin.Replica(nil), c.engines...), c.plain...)
	r.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	for n := 0; time.Now().Before(c.until); n++ {
		replicas[n%len(replicas)].Pause(silence)
		if n%2 == 1 && !c.restarting {
			g := c.gateways[r.IntN(len(c.gateways))]
			g.freeze()
			time.Sleep(silence)
			g.thaw()
		}
		time.Sleep(silenceInterval - silence)
	}
}
