package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

const (
	// lifeSeries is how many series of faults of life cycles run beside the others.
	lifeSeries = 2
	// lifeBeat is the time between two records of an endpoint.
	lifeBeat = time.Second
	// lifeSlack bounds how late a record comes, and how far an endpoint's clock is off.
	lifeSlack = 3 * time.Second
	// minLongFreeze and maxLongFreeze bound a freeze beyond the time-outs between hosts.
	minLongFreeze = 3 * time.Second
	maxLongFreeze = 7 * time.Second
	// maxDown bounds the time from the end of an endpoint to its next start.
	maxDown = 500 * time.Millisecond
	// crashCalls is how many requests are sent that crash endpoints.
	crashCalls = 3
	// crashEngines is how many endpoints may be crashed by them, unframedEngines how many answer
	// without framing and crash, at a time.
	crashEngines    = 4
	unframedEngines = 3
)

// lifeFaults are what may happen to endpoints and hosts over their lives.
func (o *orderSoak) lifeFaults() []soakFault {
	return []soakFault{
		o.scaleOut, o.scaleOut, o.restart, o.restart, o.restartBeside, o.restartBeside, o.restartBeside, o.unframe, o.unframe,
		o.crashByRequest, o.pauseEngines, o.freezeLong, o.freezeLong,
		o.strikeHosts, o.strikeHosts, o.loseAll,
	}
}

// playLife runs one series of life cycles until the time is over.
func (o *orderSoak) playLife(_ string, r *rand.Rand) {
	faults := o.lifeFaults()
	for !o.over() {
		d := time.Duration(r.Int64N(int64(soakFaultTime)))
		faults[r.IntN(len(faults))](o.soak, r, d)
		time.Sleep(time.Duration(r.Int64N(int64(soakPauseTime))))
	}
}

// scaleOut adds endpoints of any version for a time, of which some crash and the others drain.
func (o *orderSoak) scaleOut(_ *soak, r *rand.Rand, d time.Duration) {
	for range 1 + r.IntN(3) {
		e := o.incarnate(ownAddress(o.t), fmt.Sprintf("extra-%x", r.Uint32()), versionOf(r.IntN(2)), r)
		if e == nil {
			return
		}
		o.mu.Lock()
		o.replaced = append(o.replaced, e)
		o.listNew(e)
		o.mu.Unlock()
		crashes := r.IntN(2) == 0
		stays := d + time.Duration(r.Int64N(int64(lifeSlack)))
		time.AfterFunc(stays, func() { o.scaleIn(e, crashes) })
	}
	time.Sleep(d)
}

// scaleIn ends an endpoint that came in addition.
func (o *orderSoak) scaleIn(e *standin.Replica, crashes bool) {
	if crashes {
		e.Reset()
		time.Sleep(lifeBeat)
		o.unlist(e)
		return
	}
	o.mu.Lock()
	if record := o.life.records[e]; record != nil {
		record.state = "draining"
		o.listNew(e)
	}
	o.mu.Unlock()
	time.Sleep(lifeBeat)
	o.unlist(e)
	time.Sleep(lifeBeat)
	e.Close()
}

// restart ends an endpoint and starts another at its address, mostly under its id, of any version.
func (o *orderSoak) restart(_ *soak, r *rand.Rand, d time.Duration) {
	i := r.IntN(o.size.endpoints)
	old, next := o.take(i)
	if old == nil {
		return
	}
	switch r.IntN(6) {
	case 0, 1:
		next.id = fmt.Sprintf("engine-%d.%x", i, r.Uint32())
	case 2:
		next.address = ownAddress(o.t)
	}
	if r.IntN(2) == 0 {
		next.version = versionOf(r.IntN(2))
	}
	switch r.IntN(3) {
	case 0:
		old.Close()
	case 1:
		old.Reset()
	default:
		// It falls dark: its connections stay, and nothing is sent on them.
		next.dark = d
		old.Pause(d + 2*lifeSlack)
		old.StopListening()
	}
	if r.IntN(3) == 0 {
		next.late = time.Duration(r.Int64N(int64(lifeSlack)))
	}
	next.stale = r.IntN(4) == 0
	time.Sleep(time.Duration(r.Int64N(int64(maxDown))))
	o.startAgain(i, old, next, r)
}

// take returns an endpoint that is to start again, as it was, unless another fault has it.
func (o *orderSoak) take(i int) (*standin.Replica, lifeRestart) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.engines[i]
	if o.life.restarting[old] {
		return nil, lifeRestart{}
	}
	o.life.restarting[old] = true
	return old, lifeRestart{id: old.ID, version: o.versions[old.RunName()], address: old.Address()}
}

// crashByRequest sends requests that crash the endpoints which begin to run them, and starts these
// again at their addresses.
func (o *orderSoak) crashByRequest(_ *soak, r *rand.Rand, d time.Duration) {
	part := fmt.Sprintf("%08x", r.Uint32())
	o.mu.Lock()
	var engines []*standin.Replica
	taken := r.Perm(o.size.endpoints)[:crashEngines]
	for _, i := range taken {
		engines = append(engines, o.engines[i])
	}
	o.mu.Unlock()
	for _, e := range engines {
		e.SetFaults(standin.ReplicaFaults{CrashPart: part})
	}
	var calls sync.WaitGroup
	for n := range crashCalls {
		g := o.gateways[r.IntN(len(o.gateways))]
		id := fmt.Sprintf("crash-%s-%d", part, n)
		calls.Go(func() {
			g.sendWith(http.MethodPost, "/stream/x", id, []byte("crash "+part), map[string]string{
				"X-Prompt-Prefix": part + ":400," + part + "1:50", "X-Token-Counts": "450,120", "X-Model": "m", "X-Deadline-Ms": "2000",
			})
		})
	}
	calls.Wait()
	time.Sleep(d)
	for n, e := range engines {
		i := taken[n]
		e.SetFaults(standin.ReplicaFaults{})
		o.mu.Lock()
		crashed := e.Closed() && !o.life.restarting[e] && o.engines[i] == e
		o.life.restarting[e] = o.life.restarting[e] || crashed
		o.mu.Unlock()
		if crashed {
			o.startAgain(i, e, lifeRestart{id: e.ID, version: versionOf(r.IntN(2)), address: e.Address()}, r)
		}
	}
}

// pauseEngines has endpoints freeze for longer than hosts wait, and go on.
func (o *orderSoak) pauseEngines(_ *soak, r *rand.Rand, d time.Duration) {
	d += time.Second
	for range 1 + r.IntN(3) {
		o.mu.Lock()
		e := o.engines[r.IntN(o.size.endpoints)]
		o.mu.Unlock()
		e.Pause(d)
	}
	time.Sleep(d)
}

// unframe has endpoints answer without a length and chunks, and crash meanwhile: their kernels close
// their connections.
func (o *orderSoak) unframe(_ *soak, r *rand.Rand, d time.Duration) {
	taken := r.Perm(o.size.endpoints)[:unframedEngines]
	olds, nexts := make([]*standin.Replica, unframedEngines), make([]lifeRestart, unframedEngines)
	for n, i := range taken {
		if olds[n], nexts[n] = o.take(i); olds[n] != nil {
			olds[n].SetFaults(standin.ReplicaFaults{Unframed: true})
		}
	}
	time.Sleep(d)
	for n, i := range taken {
		if olds[n] != nil {
			olds[n].Close()
			time.Sleep(time.Duration(r.Int64N(int64(maxDown))))
			o.startAgain(i, olds[n], nexts[n], r)
		}
	}
}

// restartBeside has an endpoint start again with the other version while those of the version that
// it had break their streams off, and writes its record late.
func (o *orderSoak) restartBeside(_ *soak, r *rand.Rand, d time.Duration) {
	i := r.IntN(o.size.endpoints)
	old, next := o.take(i)
	if old == nil {
		return
	}
	var beside []*standin.Replica
	o.mu.Lock()
	for _, e := range o.engines {
		if e != old && o.versions[e.RunName()] == next.version {
			beside = append(beside, e)
		}
	}
	o.mu.Unlock()
	for _, e := range beside {
		e.SetFaults(standin.ReplicaFaults{CutAfter: 1 + r.IntN(soakEvents-1)})
	}
	time.Sleep(d / 2)
	next.version = otherVersion(next.version)
	next.late = time.Second + time.Duration(r.Int64N(int64(lifeSlack-time.Second)))
	old.Close()
	o.startAgain(i, old, next, r)
	for _, e := range beside {
		e.SetFaults(standin.ReplicaFaults{})
	}
}

func otherVersion(version string) string {
	if version == versionOf(0) {
		return versionOf(1)
	}
	return versionOf(0)
}

// freezeLong freezes a host for longer than the others wait for it.
func (o *orderSoak) freezeLong(s *soak, r *rand.Rand, _ time.Duration) {
	s.withGateway(r, func(g *gateway) {
		g.freeze()
		time.Sleep(longFreeze(r))
		g.thaw()
	})
}

func longFreeze(r *rand.Rand) time.Duration {
	return minLongFreeze + time.Duration(r.Int64N(int64(maxLongFreeze-minLongFreeze)))
}

// eldest returns the host that has run for the longest time, which schedules.
func (o *orderSoak) eldest() int {
	eldest := 0
	for i, g := range o.gateways {
		if g.began.Before(o.gateways[eldest].began) {
			eldest = i
		}
	}
	return eldest
}

// strikeHosts kills or freezes the host that schedules together with others, at one moment.
func (o *orderSoak) strikeHosts(s *soak, r *rand.Rand, d time.Duration) {
	o.mu.Lock()
	struck := []int{o.eldest()}
	o.mu.Unlock()
	for i := range o.gateways {
		if i != struck[0] && r.IntN(2) == 0 {
			struck = append(struck, i)
		}
	}
	slices.Sort(struck)
	if r.IntN(2) == 0 {
		o.killTogether(struck, d)
		return
	}
	defer s.inHand.hold(struck)()
	for _, i := range struck {
		s.gateways[i].freeze()
	}
	time.Sleep(longFreeze(r))
	for _, i := range struck {
		s.gateways[i].thaw()
	}
}

// loseAll has all hosts lose power at the same moment.
func (o *orderSoak) loseAll(_ *soak, _ *rand.Rand, d time.Duration) {
	all := make([]int, len(o.gateways))
	for i := range all {
		all[i] = i
	}
	o.killTogether(all, d)
}

// killTogether kills hosts at one moment and starts them again.
func (o *orderSoak) killTogether(hosts []int, d time.Duration) {
	defer o.inHand.hold(hosts)()
	for _, i := range hosts {
		o.gateways[i].signal(syscall.SIGKILL)
	}
	for _, i := range hosts {
		<-o.gateways[i].done
	}
	time.Sleep(d)
	for _, i := range hosts {
		o.again(o.gateways[i])
	}
}

// hold takes the locks of some parts, in ascending order, and returns what gives them back.
func (l locks) hold(parts []int) func() {
	for _, i := range parts {
		l[i].Lock()
	}
	return func() {
		for _, i := range parts {
			l[i].Unlock()
		}
	}
}

// sameText reports whether an item has the text that was read before, if any. o.mu must be held.
func (o *orderSoak) sameText(item, text string) bool {
	before, found := o.life.texts[item]
	o.life.texts[item] = text
	return !found || before == text
}
