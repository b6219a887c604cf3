package slots

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/scheduler"
)

// The replays of quotas run the scheduler cores, participation and logs of many hosts with delayed
// messages, in steps of virtual time.

const (
	quotaStep = 10 * time.Millisecond
	// closeSeen is the time until the end of a process is seen at the other end of its sessions.
	closeSeen = 30 * time.Millisecond
	// configurationSpread is the time within which all hosts read a new configuration.
	configurationSpread = 600 * time.Millisecond
)

var quotaOptions = quota.Options{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// quotaTenant is a workspace of a replay.
type quotaTenant struct {
	usual, burst float64
	// factor returns the factor of the usual rate at a time; nil means 1.
	factor func(at time.Duration) float64
	// limit returns the requests per second at a time, by the configuration of the given version;
	// nil means 1.6 times the usual rate.
	limit func(at time.Duration) (rate float64, version int64)
	// host returns the host that a request reaches; nil means any.
	host func(random *rand.Rand, hosts int) int
}

// quotaFaults are what happens to hosts in a replay.
type quotaFaults struct {
	// down and frozen report whether a host's process has ended, or stands still.
	down, frozen func(host int, at time.Duration) bool
	// cut reports whether two hosts don't reach each other, storeCut whether a host doesn't reach
	// the store.
	cut      func(a, b int, at time.Duration) bool
	storeCut func(host int, at time.Duration) bool
}

// quotaPlanted are faults of the code itself, which a replay has to show.
type quotaPlanted struct{ noHistory, noReplicas, noShare bool }

type quotaMessage struct {
	at      time.Duration
	session int
	// deliver is executed at the receiver.
	deliver func(at time.Duration)
}

type quotaHost struct {
	w     *quotaWorld
	index int
	name  string
	key   string
	up    bool
	core  *scheduler.Core
	part  *participation
	log   *quota.Log
	inbox []quotaMessage
	// sessions are those of the hosts at this scheduler.
	sessions map[int]*quotaSession
	// scheduler is the host that this one uses, by the session of the given number.
	scheduler, session int
	lastHeard          time.Duration
	backoff            map[int]time.Duration
	pending            map[string]*quotaRequest
	lastRecord         map[string]time.Duration
	recordsRead        time.Duration
	standbys           map[int]int
}

type quotaSession struct {
	number   int
	lastSeen time.Duration
}

type quotaRequest struct {
	tenant  int
	sent    time.Duration
	request scheduler.PermitRequest
}

// quotaWorld is a replay.
type quotaWorld struct {
	random  *rand.Rand
	hosts   []*quotaHost
	tenants []quotaTenant
	faults  quotaFaults
	planted quotaPlanted
	now     time.Duration
	seq     int
	// written are the hosts whose records were written in this step.
	written []string
	sent    []int
	refused []int
	// admittedSent and admittedAt are the times at which admitted requests were sent by their
	// clients, and were admitted; within counts the requests that a bucket with the quota's own
	// rate and burst admits in the order in which they were sent.
	admittedSent, admittedAt [][]time.Duration
	within                   []int
	buckets                  []float64
}

func (w *quotaWorld) clock() time.Time { return time.Unix(1000, 0).Add(w.now) }

func (w *quotaWorld) reaches(a, b int) bool {
	return a == b || w.faults.cut == nil || !w.faults.cut(a, b, w.now)
}

func newQuotaWorld(hosts int, tenants []quotaTenant, faults quotaFaults, planted quotaPlanted, seed uint64) *quotaWorld {
	w := &quotaWorld{
		random: rand.New(rand.NewPCG(seed, 5)), tenants: tenants, faults: faults, planted: planted,
		sent: make([]int, len(tenants)), refused: make([]int, len(tenants)), within: make([]int, len(tenants)),
		admittedSent: make([][]time.Duration, len(tenants)), admittedAt: make([][]time.Duration, len(tenants)),
		buckets: make([]float64, len(tenants)),
	}
	for i := range hosts {
		w.hosts = append(w.hosts, &quotaHost{w: w, index: i, name: fmt.Sprintf("h%03d", i)})
	}
	return w
}

func (h *quotaHost) frozen() bool {
	return h.w.faults.frozen != nil && h.w.faults.frozen(h.index, h.w.now)
}
func (h *quotaHost) down() bool { return h.w.faults.down != nil && h.w.faults.down(h.index, h.w.now) }

func (h *quotaHost) storeCut() bool {
	return h.w.faults.storeCut != nil && h.w.faults.storeCut(h.index, h.w.now)
}

// start begins a process that knows nothing.
func (h *quotaHost) start() {
	h.w.seq++
	h.up, h.key = true, fmt.Sprintf("%s.%d", h.name, h.w.seq)
	o := quotaOptions
	o.Self = h.key
	h.core = scheduler.NewCore(scheduler.Options{Host: h.name, Quota: o})
	h.part = newParticipation()
	h.log = quota.NewLog(h.w.clock(), quotaOptions)
	h.inbox, h.sessions = nil, make(map[int]*quotaSession)
	h.backoff, h.pending = make(map[int]time.Duration), make(map[string]*quotaRequest)
	h.lastRecord, h.recordsRead = make(map[string]time.Duration), 0
	h.standbys = nil
	h.scheduler = -1
	h.attach(h.index)
}

// post delivers a message to a host after a delay, in order of the sender's messages.
func (w *quotaWorld) post(from, to int, session int, deliver func(at time.Duration)) {
	at := w.now
	if from != to {
		at += time.Duration(1+w.random.IntN(40)) * time.Millisecond
	}
	target := w.hosts[to]
	for i := len(target.inbox) - 1; i >= 0; i-- {
		if target.inbox[i].session == session {
			at = max(at, target.inbox[i].at)
			break
		}
	}
	target.inbox = append(target.inbox, quotaMessage{at: at, session: session, deliver: deliver})
}

// attach moves the host to a scheduler.
func (h *quotaHost) attach(to int) {
	w := h.w
	if old := h.scheduler; old >= 0 && w.hosts[old].up && w.reaches(h.index, old) {
		target, number, key := w.hosts[old], h.session, w.hosts[old].key
		w.post(h.index, old, number, func(at time.Duration) {
			if target.key == key {
				target.leave(h.index, number, at, closed)
			}
		})
	}
	w.seq++
	h.scheduler, h.session, h.lastHeard = to, w.seq, w.now
	h.part.superseded = to != h.index
	target, number := w.hosts[to], h.session
	hello := &scheduler.Hello{Host: h.name, Admitted: h.log.Reports(w.clock())}
	if w.planted.noHistory {
		hello.Admitted = nil
	}
	w.post(h.index, to, number, func(at time.Duration) { target.join(h.index, number, hello, at) })
	for _, r := range h.pending {
		h.ask(r)
	}
}

func (h *quotaHost) ask(r *quotaRequest) {
	target, request := h.w.hosts[h.scheduler], r.request
	h.w.post(h.index, h.scheduler, h.session, func(time.Duration) {
		target.core.RequestPermit(h.w.clock(), h.name, request)
		target.answer()
	})
}

func (h *quotaHost) join(host, number int, hello *scheduler.Hello, at time.Duration) {
	replaced := h.sessions[host] != nil
	h.sessions[host] = &quotaSession{number: number, lastSeen: at}
	h.part.join(h.w.clock(), hello.Host)
	h.updateShare()
	if replaced {
		h.core.Leave(h.w.clock(), hello.Host)
	}
	h.core.Join(h.w.clock(), hello)
	h.answer()
}

func (h *quotaHost) leave(host, number int, seen time.Duration, cause absenceCause) {
	s := h.sessions[host]
	if s == nil || s.number != number {
		return
	}
	delete(h.sessions, host)
	name := h.w.hosts[host].name
	h.part.leave(name, absence{since: time.Unix(1000, 0).Add(seen), cause: cause})
	h.updateShare()
	h.core.Leave(h.w.clock(), name)
	h.answer()
}

func (h *quotaHost) updateShare() {
	if len(h.part.joined) == 0 {
		return
	}
	var hosts []peers.Host
	for _, o := range h.w.hosts {
		if at, found := h.lastRecord[o.name]; found && h.recordsRead-at < peers.Expiry {
			hosts = append(hosts, peers.Host{Name: o.name})
		}
	}
	last := func(name string) time.Time {
		if at, found := h.lastRecord[name]; found {
			return time.Unix(1000, 0).Add(at)
		}
		return time.Time{}
	}
	readUntil := time.Time{}
	if h.recordsRead > 0 {
		readUntil = time.Unix(1000, 0).Add(h.recordsRead)
	}
	c := h.part.count(h.w.clock(), readUntil, hosts, last)
	share := c.rateShare(h.part.countClosed(readUntil, hosts, last))
	if h.w.planted.noShare {
		share = 1
	}
	h.core.SetShare(h.w.clock(), c.share(), share, true)
}

// answer sends the decisions of the core to the hosts.
func (h *quotaHost) answer() {
	for _, e := range h.core.Effects() {
		p, ok := e.(scheduler.Permit)
		if !ok {
			continue
		}
		index := slices.IndexFunc(h.w.hosts, func(o *quotaHost) bool { return o.name == p.Host })
		s := h.sessions[index]
		if s == nil || !h.w.reaches(h.index, index) {
			continue
		}
		target, key, number, by := h.w.hosts[index], h.w.hosts[index].key, s.number, h.key
		h.w.post(h.index, index, number+1<<40, func(at time.Duration) {
			if target.key != key || target.session != number {
				return
			}
			target.answered(&p, by, at)
		})
	}
}

func (h *quotaHost) answered(p *scheduler.Permit, by string, at time.Duration) {
	r := h.pending[p.ID]
	if r == nil {
		return
	}
	delete(h.pending, p.ID)
	if p.Refusal != nil {
		h.w.refused[r.tenant]++
		return
	}
	h.log.Add(h.w.clock(), by, r.request.Claim.Workspace)
	h.w.admittedSent[r.tenant] = append(h.w.admittedSent[r.tenant], r.sent)
	h.w.admittedAt[r.tenant] = append(h.w.admittedAt[r.tenant], at)
}

// run replays a time.
func (w *quotaWorld) run(length time.Duration) {
	for w.now = 0; w.now < length; w.now += quotaStep {
		if w.now%(100*time.Millisecond) == 0 {
			w.writeRecords()
		}
		for _, h := range w.hosts {
			h.process()
		}
		w.arrivals()
	}
}

// writeRecords has hosts write their records: each every two seconds, unless it stands still, and all
// at first.
func (w *quotaWorld) writeRecords() {
	w.written = w.written[:0]
	for _, h := range w.hosts {
		due := (w.now+time.Duration(h.index)*17*time.Millisecond)%(2*time.Second) < 100*time.Millisecond
		if w.now == 0 || due && h.up && !h.frozen() && !h.storeCut() {
			w.written = append(w.written, h.name)
		}
	}
}

// process executes what a host does in a step.
func (h *quotaHost) process() {
	w := h.w
	if h.down() {
		if h.up {
			h.up = false
		}
		return
	}
	if !h.up {
		h.start()
	}
	if h.frozen() {
		return
	}
	if !h.storeCut() && w.now%(100*time.Millisecond) == 0 {
		for _, name := range w.written {
			h.lastRecord[name] = max(1, w.now)
		}
		h.recordsRead = max(1, w.now-100*time.Millisecond)
	}
	h.readMessages()
	h.watch()
	if w.now%(100*time.Millisecond) == 0 {
		h.elect()
		h.updateShare()
		h.replicate()
	}
	if w.now%(20*time.Millisecond) == 0 && h.core.Busy() {
		h.core.Tick(w.clock())
	}
	h.answer()
}

func (h *quotaHost) readMessages() {
	for {
		due := h.inbox
		h.inbox = nil
		slices.SortStableFunc(due, func(a, b quotaMessage) int { return int(a.at - b.at) })
		n := 0
		for n < len(due) && due[n].at <= h.w.now {
			due[n].deliver(due[n].at)
			n++
		}
		h.inbox = append(due[n:], h.inbox...)
		if n == 0 {
			return
		}
	}
}

// watch notes which sessions have ended.
func (h *quotaHost) watch() {
	w := h.w
	for host, s := range h.sessions {
		o := w.hosts[host]
		switch {
		case host == h.index:
		case !o.up || o.session < s.number:
			if w.now-s.lastSeen > closeSeen && w.reaches(host, h.index) {
				h.leave(host, s.number, s.lastSeen, closed)
			}
		case w.reaches(host, h.index) && !o.frozen():
			s.lastSeen = w.now
		}
		if host != h.index && w.now-s.lastSeen > hostTimeout {
			h.leave(host, s.number, s.lastSeen, timedOut)
		}
	}
	if h.scheduler == h.index {
		return
	}
	s := w.hosts[h.scheduler]
	switch known := s.sessions[h.index]; {
	case s.up && !s.frozen() && w.reaches(h.index, s.index):
		if known != nil && known.number == h.session || w.now-h.lastHeard < schedulerTimeout {
			h.lastHeard = w.now
			return
		}
	case !s.up && w.reaches(h.index, s.index) && w.now-h.lastHeard > closeSeen:
		h.part.prevTimedOut = false
		h.attach(h.index)
		return
	}
	if w.now-h.lastHeard > schedulerTimeout {
		h.part.prevTimedOut = true
		h.attach(h.index)
	}
}

// elect attaches to the first host that is reached.
func (h *quotaHost) elect() {
	w := h.w
	for _, o := range w.hosts {
		if o.index == h.index {
			break
		}
		if o.index == h.scheduler {
			return
		}
		if w.now < h.backoff[o.index] {
			continue
		}
		if o.up && !o.frozen() && w.reaches(h.index, o.index) {
			h.attach(o.index)
			return
		}
		h.backoff[o.index] = w.now + maxBackoff
	}
	if h.scheduler != h.index {
		h.attach(h.index)
	}
}

// replicate tells the hosts that may schedule next what was admitted.
func (h *quotaHost) replicate() {
	if h.w.planted.noReplicas || h.core.Quotas().Len() == 0 {
		h.standbys = nil
		return
	}
	fresh, all := h.core.Quotas().Fresh(h.w.clock()), h.core.Quotas().Admitted(h.w.clock())
	standbys := make(map[int]int)
	for _, o := range h.w.hosts {
		s := h.sessions[o.index]
		if s == nil || o.index == h.index || len(standbys) >= maxStandbys || !h.w.reaches(h.index, o.index) {
			continue
		}
		report := fresh
		if h.standbys[o.index] != s.number {
			report = all
		}
		standbys[o.index] = s.number
		if !report.Empty() {
			target, key := o, o.key
			h.w.post(h.index, o.index, s.number+1<<40, func(time.Duration) {
				if target.key == key {
					target.core.Quotas().Replicate(h.w.clock(), &report)
				}
			})
		}
	}
	h.standbys = standbys
}

// limitOf returns a workspace's limit as a host knows it: hosts read the configuration within
// configurationSpread of each other.
func (w *quotaWorld) limitOf(t *quotaTenant, host int) (float64, int64) {
	if t.limit != nil {
		return t.limit(w.now - time.Duration(host%10)*configurationSpread/10)
	}
	return 1.6 * t.usual, 1
}

// arrivals sends the requests of a step to hosts that run.
func (w *quotaWorld) arrivals() {
	for i := range w.tenants {
		t := &w.tenants[i]
		factor := 1.0
		if t.factor != nil {
			factor = t.factor(w.now)
		}
		rate, _ := w.limitOf(t, 0)
		w.buckets[i] = min(t.burst, w.buckets[i]+rate*quotaStep.Seconds())
		if w.now == 0 {
			w.buckets[i] = t.burst
		}
		if w.now < 3*time.Second {
			// The hosts find each other before callers come.
			continue
		}
		for n := samplePoisson(w.random, t.usual*factor*quotaStep.Seconds()); n > 0; n-- {
			host := w.random.IntN(len(w.hosts))
			if t.host != nil {
				host = t.host(w.random, len(w.hosts))
			}
			for tries := 0; tries < 100 && (!w.hosts[host].up || w.hosts[host].frozen()); tries++ {
				host = w.random.IntN(len(w.hosts))
			}
			h := w.hosts[host]
			rate, version := w.limitOf(t, host)
			w.seq++
			w.sent[i]++
			if w.buckets[i] >= 1 {
				w.buckets[i]--
				w.within[i]++
			}
			r := &quotaRequest{tenant: i, sent: w.now, request: scheduler.PermitRequest{
				ID:    fmt.Sprint("p", w.seq),
				Claim: quota.Claim{Workspace: fmt.Sprint("w", i), RequestsPerSecond: rate, Burst: t.burst, Version: version},
			}}
			h.pending[r.request.ID] = r
			h.ask(r)
		}
	}
}

func samplePoisson(random *rand.Rand, mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		if p *= random.Float64(); p <= limit {
			return n
		}
		n++
	}
}

// most returns the most of the times within a window, those before a time left out.
func most(times []time.Duration, from time.Duration) int {
	slices.Sort(times)
	best, first := 0, 0
	for i, at := range times {
		for at-times[first] >= quotaOptions.Window || times[first] < from {
			if first++; first > i {
				break
			}
		}
		best = max(best, i-first+1)
	}
	return best
}

// excess returns how far the admissions of a workspace were above its bound in the worst window, as
// a fraction of the bound, by the times at which they were sent or admitted.
func (w *quotaWorld) excess(tenant int, rate float64, from time.Duration) float64 {
	bound := (rate*quotaOptions.Window.Seconds()+w.tenants[tenant].burst)*(1+quotaOptions.Overrun) + float64(quotaOptions.Slack)
	n := max(most(w.admittedSent[tenant], from), most(w.admittedAt[tenant], from))
	return float64(n)/bound - 1
}

// worstExcess returns the largest excess among workspaces.
func (w *quotaWorld) worstExcess() (tenant int, excess float64) {
	excess = -1
	for i := range w.tenants {
		if e := w.excess(i, 1.6*w.tenants[i].usual, 0); e > excess {
			tenant, excess = i, e
		}
	}
	return tenant, excess
}

// refusedWithin returns the share of requests within quotas that were refused: what fewer were
// admitted than buckets of the quotas admit.
func (w *quotaWorld) refusedWithin() float64 {
	missing, within := 0, 0
	for i := range w.tenants {
		within += w.within[i]
		missing += max(0, w.within[i]-len(w.admittedAt[i])-w.waiting(i))
	}
	return float64(missing) / float64(max(1, within))
}

func (w *quotaWorld) waiting(tenant int) int {
	n := 0
	for _, h := range w.hosts {
		for _, r := range h.pending {
			if r.tenant == tenant {
				n++
			}
		}
	}
	return n
}

// usualTenants returns workspaces of several sizes at their usual rates, and one that sends 7.5 times as
// much from time to time.
func usualTenants() []quotaTenant {
	var out []quotaTenant
	for i := range 10 {
		usual := []float64{1, 3, 8, 25}[i%4]
		out = append(out, quotaTenant{usual: usual, burst: 2 * usual})
	}
	out[3].factor = inTimes(7.5, 6*time.Second, 3*time.Second)
	return out
}

// inTimes returns a factor for some time of every period.
func inTimes(factor float64, period, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period < length {
			return factor
		}
		return 1
	}
}

func between(at, from, until time.Duration) bool { return at >= from && at < until }

const quotaReplayLength = 25 * time.Second

// TestQuotasInCalm replays usual workspaces, one that sends 7.5 times its usual, one that uses a single
// host, uneven balancing, and all at once: bounds hold, and at most one in a thousand requests
// within quotas is refused.
func TestQuotasInCalm(t *testing.T) {
	tenants := map[string]func() []quotaTenant{
		"usual": usualTenants,
		"a single host": func() []quotaTenant {
			out := usualTenants()
			out[3].host = func(*rand.Rand, int) int { return 4 }
			out[2].host = func(*rand.Rand, int) int { return 0 }
			return out
		},
		"uneven": func() []quotaTenant {
			out := usualTenants()
			for i := range out {
				out[i].host = func(random *rand.Rand, hosts int) int { return int(float64(hosts) * math.Pow(random.Float64(), 3)) }
			}
			return out
		},
		"all at once": func() []quotaTenant {
			out := usualTenants()
			for i := range out {
				out[i].factor = inTimes(5, 8*time.Second, 3*time.Second)
			}
			return out
		},
	}
	for name, make := range tenants {
		for _, hosts := range []int{10, 61, 300} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				w := newQuotaWorld(hosts, make(), quotaFaults{}, quotaPlanted{}, uint64(hosts))
				w.run(quotaReplayLength)
				if tenant, excess := w.worstExcess(); excess > 0 {
					t.Errorf("workspace %d is %.1f %% above its bound", tenant, 100*excess)
				}
				if share := w.refusedWithin(); share > 0.001 {
					t.Errorf("%.2f %% of the requests within quotas are refused", 100*share)
				}
			})
		}
	}
}

// quotaFaultsOf are the faults under which the bounds are replayed.
func quotaFaultsOf(hosts int) map[string]quotaFaults {
	half := func(a int) bool { return a%2 == 0 }
	return map[string]quotaFaults{
		"the scheduler ends": {
			down: func(host int, at time.Duration) bool { return host == 0 && at >= 8*time.Second },
		},
		"schedulers end in turn and start again": {
			down: func(host int, at time.Duration) bool {
				return host < 4 && between(at, time.Duration(6+4*host)*time.Second, time.Duration(7+4*host)*time.Second)
			},
		},
		"hosts come and go": {
			down: func(host int, at time.Duration) bool {
				return host%3 == 1 && between(at%(9*time.Second), time.Duration(3000+host*20)*time.Millisecond, time.Duration(4500+host*20)*time.Millisecond)
			},
		},
		"the scheduler and a third of the hosts end": {
			down: func(host int, at time.Duration) bool { return host%3 == 0 && at >= 8*time.Second },
		},
		"all hosts start again": {
			down: func(_ int, at time.Duration) bool { return between(at, 8*time.Second, 9*time.Second) },
		},
		"the scheduler stands still": {
			frozen: func(host int, at time.Duration) bool {
				return host == 0 && (between(at, 8*time.Second, 8200*time.Millisecond) || between(at, 9*time.Second, 9600*time.Millisecond) || between(at, 13*time.Second, 16*time.Second))
			},
		},
		"a host stands still": {
			frozen: func(host int, at time.Duration) bool { return host == 4 && between(at, 8*time.Second, 11*time.Second) },
		},
		"halves are cut off from each other": {
			cut: func(a, b int, at time.Duration) bool {
				return half(a) != half(b) && between(at, 8*time.Second, 16*time.Second)
			},
		},
		"a few hosts are cut off, with the store away": {
			cut: func(a, b int, at time.Duration) bool {
				return (a < hosts/10) != (b < hosts/10) && between(at, 8*time.Second, 14*time.Second)
			},
			storeCut: func(_ int, at time.Duration) bool { return between(at, 7*time.Second, 15*time.Second) },
		},
		"each host is cut off": {
			cut: func(_, _ int, at time.Duration) bool { return between(at, 8*time.Second, 14*time.Second) },
		},
	}
}

// hotTenants returns workspaces that send more than their quotas at all times, two of them by a single
// host, with bursts that are large compared to what a quota may be exceeded by.
func hotTenants() []quotaTenant {
	hot := func(time.Duration) float64 { return 7.5 }
	return []quotaTenant{
		{usual: 12, burst: 60, factor: hot},
		{usual: 12, burst: 60, factor: hot, host: func(*rand.Rand, int) int { return 0 }},
		{usual: 12, burst: 60, factor: hot, host: func(*rand.Rand, int) int { return 4 }},
		{usual: 2, burst: 2, factor: hot},
		{usual: 12, burst: 60, factor: inTimes(7.5, 4*time.Second, 2*time.Second)},
	}
}

// TestQuotasUnderFaults replays workspaces that send more than their quotas while hosts and links fail:
// in every window, no more than the bound is admitted.
func TestQuotasUnderFaults(t *testing.T) {
	for _, hosts := range []int{10, 61, 300} {
		for name, faults := range quotaFaultsOf(hosts) {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				w := newQuotaWorld(hosts, hotTenants(), faults, quotaPlanted{}, uint64(hosts))
				w.run(quotaReplayLength)
				for i := range w.tenants {
					if excess := w.excess(i, 1.6*w.tenants[i].usual, 0); excess > 0 {
						t.Errorf("workspace %d is %.1f %% above its bound", i, 100*excess)
					}
				}
			})
		}
	}
}

// TestQuotaReplaysShowFaults plants faults in what schedulers are told and do: the replays show each.
func TestQuotaReplaysShowFaults(t *testing.T) {
	const hosts = 61
	for _, c := range []struct {
		faults  string
		planted quotaPlanted
	}{
		{"the scheduler stands still", quotaPlanted{noHistory: true}},
		{"schedulers end in turn and start again", quotaPlanted{noHistory: true, noReplicas: true}},
		{"schedulers end in turn and start again", quotaPlanted{noReplicas: true}},
		{"halves are cut off from each other", quotaPlanted{noShare: true}},
		{"each host is cut off", quotaPlanted{noShare: true}},
	} {
		w := newQuotaWorld(hosts, hotTenants(), quotaFaultsOf(hosts)[c.faults], c.planted, hosts)
		w.run(quotaReplayLength)
		if tenant, excess := w.worstExcess(); excess < 0.02 {
			t.Errorf("%s, with %+v: workspace %d is %.1f %% above its bound: the replay shows nothing", c.faults, c.planted, tenant, 100*excess)
		}
	}
}

// TestUsualWorkspacesUnderFaults replays workspaces that keep to their quotas while schedulers end and
// stand still, and halves are cut off from each other: takeovers hardly refuse requests.
func TestUsualWorkspacesUnderFaults(t *testing.T) {
	for _, hosts := range []int{10, 61} {
		for _, name := range []string{
			"the scheduler ends", "schedulers end in turn and start again", "a host stands still", "the scheduler stands still",
			"hosts come and go", "the scheduler and a third of the hosts end", "halves are cut off from each other",
		} {
			w := newQuotaWorld(hosts, usualTenants(), quotaFaultsOf(hosts)[name], quotaPlanted{}, uint64(hosts))
			w.run(quotaReplayLength)
			if share := w.refusedWithin(); share > 0.01 {
				t.Errorf("%s, %d hosts: %.2f %% of the requests within quotas are refused", name, hosts, 100*share)
			}
		}
	}
}

// TestLoweredQuota lowers a limit, and another one below what is sent: within a window after all hosts
// have read it, the lower bound holds, and what is within it is admitted.
func TestLoweredQuota(t *testing.T) {
	const changed = 10 * time.Second
	lowered := func(before, after float64) func(time.Duration) (float64, int64) {
		return func(at time.Duration) (float64, int64) {
			if at < changed {
				return before, 1
			}
			return after, 2
		}
	}
	for _, hosts := range []int{10, 61, 300} {
		tenants := []quotaTenant{
			{usual: 10, burst: 20, limit: lowered(160, 16)},
			{usual: 100, burst: 20, limit: lowered(160, 16)},
		}
		w := newQuotaWorld(hosts, tenants, quotaFaults{}, quotaPlanted{}, uint64(hosts))
		w.run(quotaReplayLength)
		for i := range tenants {
			if excess := w.excess(i, 16, changed+configurationSpread); excess > 0 {
				t.Errorf("%d hosts: workspace %d is %.1f %% above its lowered bound", hosts, i, 100*excess)
			}
		}
		if share := w.refusedWithin(); share > 0.001 {
			t.Errorf("%d hosts: %.2f %% of the requests within quotas are refused", hosts, 100*share)
		}
	}
}
