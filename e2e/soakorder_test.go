package e2e

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

const (
	// orderEngines is the number of endpoints of the order soak that serve at a time, unless SOAK_ENDPOINTS
	// says another.
	orderEngines = 8
	// orderQuota is a quota that some jobs exceed.
	orderQuota = 8000
	// orderPace is the time between two events.
	orderPace = 40 * time.Millisecond
	// orderTries is how often a caller takes a stream up, at most.
	orderTries = 4
	// orderPatience is how long it tries.
	orderPatience = 5 * time.Second
	// maxMixedStreams is how many streams may hold events of two software versions.
	maxMixedStreams = 2
)

// orderSoak is a soak whose endpoints are of two software versions, and are replaced and crash while
// callers take streams up again. Each event names the run that sent it.
type orderSoak struct {
	*soak
	size soakSize
	life life
	// versions and replicas are by the name that events have.
	versions map[string]string
	replicas map[string]*standin.Replica
	orderOutcomes
}

// runEvent is an event as a caller got it.
type runEvent struct {
	number  int
	replica string
	run     int
}

// runEventPattern is the data of an event: its request and number, replica and run.
var runEventPattern = regexp.MustCompile(`^(.+)\.(\d+)@(.+)#(\d+)$`)

// TestSoakOrder takes streams up again at any host while hosts are killed, shut down, frozen and lost
// for others at new addresses, endpoints of two software versions are replaced, crash and break off, and the store fails and
// does writes seconds late: no event may be missing or come twice, each run that goes on was asked
// to, at the version that began, and no position, total or configuration may go back. SOAK_SEEDS
// plays so many fresh seeds, SOAK_SEED one; SOAK_HOSTS, SOAK_ENDPOINTS and SOAK_FREEZES change the fleet and its faults.
func TestSoakOrder(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { newOrderSoak(t).run(seed) })
	}
}

func newOrderSoak(t *testing.T) *orderSoak {
	t.Helper()
	size := newSoakSize(t)
	o := &orderSoak{
		size: size,
		soak: &soak{
			routedFleet: &routedFleet{t: t, store: standin.NewStore(standin.StoreFaults{}), quota: orderQuota},
			version:     1, inHand: make(locks, size.hosts),
		},
		life: newLife(), orderOutcomes: orderOutcomes{mixed: make(map[string]*mixedStream)}, versions: make(map[string]string), replicas: make(map[string]*standin.Replica),
	}
	o.isOutput = func(item, text string) bool { return o.checkText(item, text) }
	o.faults = append(hostFaults(t),
		soakReload, soakStoreOutage, soakStoreSlow, soakTrim, soakStoreLink, soakConfigure,
		orderLate, orderLate, orderMove, orderMove, o.replace, o.replace, o.replace, o.crash, o.breakOff, o.breakOff, o.turnAway, o.turnAway,
	)
	store := o.serveStore()
	for i := range size.endpoints {
		o.engines = append(o.engines, o.engine(rand.New(rand.NewPCG(0, uint64(i))), fmt.Sprintf("engine-%d", i), versionOf(i)))
	}
	o.plain = append(o.plain, o.replica("plain-0", "plain", 0))
	soakConfigure(o.soak, nil, 0)
	for i := range size.hosts {
		link := newSoakProxy(t, store)
		o.storeLinks = append(o.storeLinks, link)
		o.gateways = append(o.gateways, o.newGateway(fmt.Sprintf("host-%d", i), link.address()))
	}
	o.awaitReady(o.gateways...)
	return o
}

// engine starts an endpoint of a software version. o.mu must not be held.
func (o *orderSoak) engine(r *rand.Rand, id, version string) *standin.Replica {
	e := o.incarnate(ownAddress(o.t), id, version, r)
	if e == nil {
		o.t.FailNow()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listNew(e)
	return e
}

// exchange puts another endpoint in the place of one and returns the old one.
func (o *orderSoak) exchange(r *rand.Rand, version func(old string) string) *standin.Replica {
	i := r.IntN(o.size.endpoints)
	o.mu.Lock()
	old := o.engines[i]
	next := version(o.versions[old.RunName()])
	o.mu.Unlock()
	e := o.engine(r, fmt.Sprintf("engine-%d.%x", i, r.Uint32()), next)
	o.mu.Lock()
	o.engines[i] = e
	o.replaced = append(o.replaced, old)
	o.mu.Unlock()
	return old
}

// replace has an endpoint leave, which finishes what it has, for one of any version.
func (o *orderSoak) replace(_ *soak, r *rand.Rand, d time.Duration) {
	old := o.exchange(r, func(string) string { return versionOf(r.IntN(2)) })
	o.unlist(old)
	time.Sleep(d)
	old.Close()
}

// crash ends an endpoint, whose record stays for a time.
func (o *orderSoak) crash(_ *soak, r *rand.Rand, d time.Duration) {
	old := o.exchange(r, func(version string) string { return version })
	old.Close()
	time.Sleep(d)
	o.unlist(old)
}

// breakOff has an endpoint break streams off, fall silent or refuse.
func (o *orderSoak) breakOff(_ *soak, r *rand.Rand, d time.Duration) {
	o.mu.Lock()
	e := o.engines[r.IntN(o.size.endpoints)]
	o.mu.Unlock()
	e.SetFaults([]standin.ReplicaFaults{
		{CutAfter: 1 + r.IntN(19)}, {SilentAfter: 1 + r.IntN(19)}, {EndInsideAfter: 1 + r.IntN(19)}, {CutAtHead: true}, {NotRun: true}, {ResetBefore: true},
	}[r.IntN(6)])
	time.Sleep(d)
	e.SetFaults(standin.ReplicaFaults{})
}

// turnAway has half of the endpoints refuse each request once, at once: it is sent again elsewhere.
func (o *orderSoak) turnAway(_ *soak, r *rand.Rand, d time.Duration) {
	o.mu.Lock()
	refusing := slices.Clone(o.engines)
	o.mu.Unlock()
	r.Shuffle(len(refusing), func(i, j int) { refusing[i], refusing[j] = refusing[j], refusing[i] })
	refusing = refusing[:o.size.endpoints/2]
	for _, e := range refusing {
		e.SetFaults(standin.ReplicaFaults{RefuseFirst: true})
	}
	time.Sleep(d)
	for _, e := range refusing {
		e.SetFaults(standin.ReplicaFaults{})
	}
}

// orderLate has the store do writes without an answer, one to six seconds late.
func orderLate(s *soak, r *rand.Rand, d time.Duration) {
	s.storeFault(d, standin.StoreFaults{LoseAnswers: 1 + r.IntN(6), LateMillis: 1000 + r.Int64N(5000)})
}

// movedSettings are the lines of a host's settings that change as another host takes its place.
var movedSettings = regexp.MustCompile(`(?m)^(name|peers) = .*$`)

// orderMove loses a host for good; another one comes, whose name and address the others don't know.
// Callers find it where the old one was.
func orderMove(s *soak, r *rand.Rand, d time.Duration) {
	s.withGateway(r, func(g *gateway) {
		g.kill()
		time.Sleep(d)
		text, err := os.ReadFile(g.file)
		if err != nil {
			s.t.Error(err)
			return
		}
		text = movedSettings.ReplaceAllFunc(text, func(line []byte) []byte {
			if bytes.HasPrefix(line, []byte("name")) {
				return fmt.Appendf(nil, "name = %s.%x", g.name, r.Uint32())
			}
			return fmt.Appendf(nil, "peers = %s", ownAddress(s.t))
		})
		if err := os.WriteFile(g.file, text, 0o600); err != nil {
			s.t.Error(err)
			return
		}
		s.again(g)
	})
}

// run plays a seed and checks what the callers saw.
func (o *orderSoak) run(seed uint64) {
	defer o.report()
	duties, begin := o.begin(seed)
	begin(soakSeries, func(_ string, r *rand.Rand) { o.play(r) })
	begin(keptSeries, o.answerWrongly(newKeptDeck(seed)))
	begin(lifeSeries, o.playLife)
	begin(1, o.beat)
	begin(1, o.readOn)
	begin(o.size.callers(), o.streams)
	begin(2, o.submit)
	begin(2, func(_ string, r *rand.Rand) { o.poll(r) })
	for _, g := range o.gateways {
		begin(1, func(name string, _ *rand.Rand) { o.watchConfiguration(name, g) })
	}
	duties.Wait()
	o.heal()
	o.awaitReady(o.gateways...)
	o.checkJobs()
	o.loseAll(o.soak, nil, 0)
	o.awaitReady(o.gateways...)
	o.checkJobs()
	o.checkRoute()
	if len(o.mixed) > maxMixedStreams {
		o.t.Errorf("%d streams and items hold events of two software versions", len(o.mixed))
	}
	o.checkKept()
	if o.whole == 0 || o.resumed == 0 {
		o.t.Errorf("%d streams and items were whole, %d went on after a break", o.whole, o.resumed)
	}
}

// hostFaults are the commonest harm to hosts. SOAK_FREEZES=1 freezes them in series, and kills fewer: a process
// that stands still keeps what it believes.
func hostFaults(t *testing.T) []soakFault {
	t.Helper()
	if soakSetting(t, "SOAK_FREEZES", 0) == 1 {
		return []soakFault{soakKill, soakTerminate, soakFreeze, soakFreeze, soakFreeze, soakFreeze, soakFreeze, soakFreeze}
	}
	return []soakFault{soakKill, soakKill, soakTerminate, soakFreeze}
}

// streams opens streams, leaves some in their middle, and takes those that break off up again at any
// host.
func (o *orderSoak) streams(name string, r *rand.Rand) {
	for n := 0; !o.over(); n++ {
		first, tries, began := "", 0, time.Now()
		var events []runEvent
		var attempts []streamAttempt
		ended := false
		for !ended && tries < orderTries && time.Since(began) < orderPatience {
			id := fmt.Sprintf("%s-%d-%d", name, n, tries)
			tries++
			header := map[string]string{"X-Deadline-Ms": strconv.FormatInt((orderPatience - time.Since(began)).Milliseconds(), 10)}
			if len(events) > 0 {
				header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(len(events)), first
			}
			wait := patience
			if r.IntN(2) == 0 {
				wait = time.Duration(100+r.IntN(600)) * time.Millisecond
			}
			a := o.attempt(o.gateways[r.IntN(len(o.gateways))], wait, streamAttempt{request: id, after: len(events)},
				fmt.Appendf(nil, "prompt %s %d", name, n), header)
			if a.reply.status != http.StatusOK {
				time.Sleep(50 * time.Millisecond)
			}
			if len(events) == 0 && len(a.events) > 0 {
				first = id
			}
			attempts, events = append(attempts, a), append(events, a.events...)
			ended = a.reply.err == nil && a.reply.status == http.StatusOK
		}
		o.checkEvents("stream "+first, events, ended, attempts)
	}
}

// wholeEvents returns the whole events of a body, which belong to a request.
func wholeEvents(t *testing.T, request, body string) (out []runEvent) {
	blocks := strings.Split(body, "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		id, data, found := strings.Cut(strings.TrimPrefix(block, "id: "), "\ndata: ")
		e, of, ok := parseRunEvent(data)
		if !found || !ok || of != request || strconv.Itoa(e.number) != id {
			t.Errorf("stream %s holds %q", request, block)
			continue
		}
		out = append(out, e)
	}
	return out
}

func parseRunEvent(data string) (e runEvent, request string, ok bool) {
	m := runEventPattern.FindStringSubmatch(data)
	if m == nil {
		return e, "", false
	}
	e.number, _ = strconv.Atoi(m[2])
	e.replica = m[3]
	e.run, _ = strconv.Atoi(m[4])
	return e, m[1], true
}

// checkText checks the text of an item, and reports whether it is whole.
func (o *orderSoak) checkText(item, text string) bool {
	var events []runEvent
	for line := range strings.SplitSeq(text, "\n") {
		e, of, ok := parseRunEvent(line)
		if !ok || of != item {
			return false
		}
		events = append(events, e)
	}
	return o.sameText(item, text) && o.checkEventsLocked("item "+item, events, true)
}

func (o *orderSoak) checkEvents(what string, events []runEvent, ended bool, attempts []streamAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.checkEventsLocked(what, events, ended) {
		o.t.Errorf("attempts of %s: %s", what, &mixedStream{attempts: attempts})
	}
	if m := o.mixed[what]; m != nil {
		m.attempts = attempts
	}
}

// checkEventsLocked checks the order of events: none is missing or comes twice, a run goes on behind
// the event that it was asked with, and what ended is whole. o.mu must be held.
func (o *orderSoak) checkEventsLocked(what string, events []runEvent, ended bool) bool {
	right := !ended || len(events) == soakEvents
	mixed, resumed := "", false
	for i, e := range events {
		run := o.replicas[e.replica].Runs()[e.run]
		begins := i == 0 || events[i-1].replica != e.replica || events[i-1].run != e.run
		right = right && e.number == i+1 && (!begins || run.After == i)
		resumed = resumed || begins && i > 0
		if mixed == "" && o.versions[e.replica] != o.versions[events[0].replica] {
			mixed = fmt.Sprintf("event %d of %s at %s, which began at %s of %s", e.number, o.versions[e.replica],
				e.replica, events[0].replica, o.versions[events[0].replica])
		}
	}
	if !right {
		o.t.Errorf("%s (ended %t): %v", what, ended, events)
	}
	if mixed != "" {
		o.mixed[what] = &mixedStream{shown: mixed}
	}
	if ended && right {
		o.whole++
	}
	if resumed {
		o.resumed++
	}
	return right
}

// watchConfiguration asks a host for the newest route and for the one before, and checks that no
// incarnation serves an older configuration again.
func (o *orderSoak) watchConfiguration(name string, g *gateway) {
	newest := make(map[*process]int)
	for n := 0; !o.over(); n++ {
		time.Sleep(50 * time.Millisecond)
		o.mu.Lock()
		process, version := g.process, o.version
		o.mu.Unlock()
		if g.statusAt(soakRoute(version), fmt.Sprintf("%s-%d", name, n)) == http.StatusOK {
			newest[process] = max(newest[process], version)
		}
		seen := newest[process]
		if seen < 3 || g.statusAt(soakRoute(seen-1), fmt.Sprintf("%s-%d-old", name, n)) != http.StatusOK {
			continue
		}
		o.mu.Lock()
		same := g.process == process
		o.mu.Unlock()
		if same {
			o.t.Errorf("%s served the route of version %d again after that of %d", g.name, seen-1, seen)
		}
	}
}
