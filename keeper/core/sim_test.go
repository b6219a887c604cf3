package core

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peridotmount/peridotmount/lease"
)

const (
	simStep  = 5 * time.Millisecond
	simHosts = 3
	// maxViolations limits the violations that a run reports.
	maxViolations = 5
)

var simStart = time.Unix(1_700_000_000, 0)

var simOptions = Options{
	Lease:            lease.Options{TTL: 300 * time.Millisecond, Margin: 40 * time.Millisecond},
	PollInterval:     10 * time.Millisecond,
	AppendsPerSecond: 100,
	AppendBurst:      10,
	RecordBytes:      2000,
	QueueLength:      50,
	QueueBytes:       100_000,
	Concurrency:      3,
	SnapshotInterval: 300 * time.Millisecond,
	RewriteAfter:     450 * time.Millisecond,
	SnapshotChunk:    500,
}

// faultKind is a kind of planned fault.
type faultKind int

const (
	// faultPause stops a host for the duration; it keeps its state.
	faultPause faultKind = iota
	// faultCrash stops a host for the duration; it restarts without state.
	faultCrash
	// faultOutage makes the log unavailable to all hosts for the duration.
	faultOutage
	// faultTrim trims the log at the start; it has no host and no duration.
	faultTrim
	// faultKinds is the number of kinds.
	faultKinds
)

// fault is one planned fault of a run.
type fault struct {
	Kind faultKind
	Host int
	// At is the start and For the duration, in milliseconds.
	At  int
	For int
}

func (f fault) String() string {
	return fmt.Sprintf("{%d host %d at %d ms for %d ms}", f.Kind, f.Host, f.At, f.For)
}

// simFaults holds the probabilities of random append faults, in percent.
type simFaults struct {
	losePercent int
	latePercent int
}

// sim is one deterministic simulation of hosts, a log and clients.
type sim struct {
	rng    *rand.Rand
	now    time.Time
	log    *fakeLog
	hosts  []*simHost
	faults simFaults
	plan   []fault
	timers []simEvent
	// runs counts the runs of items, trims those trims that moved the horizon.
	runs    int
	trims   int
	history history
	// waiting holds the callbacks of the proposals that are not settled, by id.
	waiting map[uint64]func(err error)
	// healed reports that all faults have ended; every item then completes.
	healed bool
	// onceRuns counts the runs of items that may run only once.
	onceRuns   map[ItemKey]int
	lastID     uint64
	violations []string
}

func newSim(seed uint64, plan []fault) *sim {
	s := &sim{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      simStart,
		log:      &fakeLog{},
		faults:   simFaults{losePercent: 5, latePercent: 8},
		plan:     plan,
		waiting:  make(map[uint64]func(error)),
		onceRuns: make(map[ItemKey]int),
	}
	for i := range simHosts {
		// The rates lie between 0.95 and 1.05: over one lease TTL of 300 ms, two
		// clocks drift apart by about 31 ms at most, less than the margin of 40 ms.
		h := &simHost{sim: s, name: fmt.Sprintf("h%d", i), clockRate: 1 + float64(s.rng.IntN(100)-50)/1000}
		h.restart()
		s.hosts = append(s.hosts, h)
	}
	return s
}

// delay draws the duration of a call to the log.
func (s *sim) delay() time.Duration {
	if s.rng.IntN(20) == 0 {
		return time.Duration(s.rng.IntN(250)) * time.Millisecond
	}
	return time.Duration(2+s.rng.IntN(18)) * time.Millisecond
}

func (s *sim) after(d time.Duration, run func()) {
	s.timers = append(s.timers, simEvent{at: s.now.Add(d), run: func(time.Time) { run() }})
}

// recordViolation records a violated guarantee, up to maxViolations in a run.
func (s *sim) recordViolation(format string, args ...any) {
	if len(s.violations) >= maxViolations {
		return
	}
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now.Sub(simStart))+fmt.Sprintf(format, args...))
}

// run simulates faults and clients for d, then ends all faults and lets the hosts
// finish their work for settle.
func (s *sim) run(d, settle time.Duration) {
	for s.now.Sub(simStart) < d {
		s.startFaults()
		s.startClientOperation()
		s.step()
	}
	s.heal()
	for s.now.Sub(simStart) < d+settle {
		s.step()
	}
	s.checkFinalState()
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	due := s.timers
	s.timers = nil
	for _, e := range due {
		if s.now.Before(e.at) {
			s.timers = append(s.timers, e)
			continue
		}
		e.run(s.now)
	}
	s.log.deliver(s.now)
	for _, i := range s.rng.Perm(len(s.hosts)) {
		s.hosts[i].step(i)
	}
	s.checkLeaders()
}

// checkLeaders checks that at most one host considers itself the leader by its
// own clock, paused hosts included.
func (s *sim) checkLeaders() {
	leader := ""
	for _, h := range s.hosts {
		if s.now.Before(h.downUntil) || !h.core.Leads(h.clock()) {
			continue
		}
		if leader != "" {
			s.recordViolation("%s and %s both lead", leader, h.name)
		}
		leader = h.name
	}
}

func (s *sim) startFaults() {
	for _, f := range s.plan {
		at := simStart.Add(time.Duration(f.At) * time.Millisecond)
		if s.now.Before(at) || !s.now.Before(at.Add(simStep)) {
			continue
		}
		s.startFault(f)
	}
}

func (s *sim) startFault(f fault) {
	h := s.hosts[f.Host%len(s.hosts)]
	d := time.Duration(f.For) * time.Millisecond
	switch f.Kind {
	case faultPause:
		h.pausedUntil = s.now.Add(d)
	case faultCrash:
		h.downUntil = s.now.Add(d)
		h.restart()
	case faultOutage:
		s.log.outage = true
		s.after(d, func() { s.log.outage = false })
	case faultTrim:
		s.trim()
	}
}

// trim trims the log as far as the newest complete snapshot allows.
func (s *sim) trim() {
	if before := s.log.replayAll().TrimOffset(); before > s.log.horizon {
		s.log.trim(before)
		s.trims++
	}
}

func (s *sim) heal() {
	s.healed = true
	s.log.outage = false
	s.faults = simFaults{}
	s.plan = nil
	for _, h := range s.hosts {
		h.pausedUntil = s.now
		h.downUntil = s.now
	}
}
