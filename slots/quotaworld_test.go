package slots

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/scheduler"
)

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
