package blame

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is the part that crashes endpoints in a simulation.
const faultyPart = "x"

// deadly is the fingerprint of the request that crashes endpoints in a simulation.
const deadly = "deadly"

// simLoad describes the load of a simulation.
type simLoad struct {
	endpoints, hosts, slots int
	// perSecond is the rate of requests, share the share of them with the faulty part.
	perSecond, share float64
	// firstParts and secondParts are how many different parts requests share; the faulty
	// part stands at position among them.
	firstParts, secondParts int
	position                int
	// retries is how often a request that broke off is sent again, and retryDelay after
	// how long.
	retries    int
	retryDelay time.Duration
	// waves are the times at which a share of the endpoints crashes for another reason.
	waves     []time.Duration
	waveShare float64
	// deadlyAt are the times at which one and the same request comes that crashes each endpoint;
	// its client tries once more after deadlyRetry. The hosts send an attempt twice.
	deadlyAt    []time.Duration
	deadlyRetry time.Duration
	// strayAt are the times at which one endpoint crashes for another reason.
	strayAt []time.Duration
	// down is how long a crashed endpoint is away.
	down time.Duration
	// faultyFrom and length bound the time.
	faultyFrom, length time.Duration
}

// simRequest is a request of a simulation.
type simRequest struct {
	id     int
	keys   []Key
	faulty bool
	sent   int
	// waited is how long it was held back as a suspect.
	waited time.Duration
}

// simPatience is how long a request waits for its turn.
const simPatience = 500 * time.Millisecond

// simRun is a run of a request at an endpoint.
type simRun struct {
	request    *simRequest
	host       int
	endpoint   int
	responding bool
	ended      bool
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim is a discrete-event simulation of hosts, endpoints and a Tracker.
type sim struct {
	load    simLoad
	random  *rand.Rand
	now     time.Duration
	queue   simQueue
	seq     int
	tracker *Tracker
	// list is that of the scheduling host, lists those of all hosts.
	list    *List
	lists   []*List
	answers []*Answers
	// runs holds the runs at each endpoint, downUntil when it is back, born its incarnation.
	runs      [][]*simRun
	downUntil []time.Duration
	born      []int
	suspects  []Key
	// pace spaces the grants of suspects, as the scheduler does.
	pace *Pace

	requests int
	verdicts []Combination
	// faultyRuns are the times at which requests with the faulty part reached endpoints.
	faultyRuns []time.Duration
	// crashed are the times at which such requests crashed endpoints.
	crashed []time.Duration
	// answered and refused count the sound requests.
	answered, refused int
}

var simStart = time.Unix(1000, 0)

func runSim(load simLoad, seed uint64) *sim {
	s := &sim{
		load: load, random: rand.New(rand.NewPCG(seed, 7)), tracker: NewTracker(), list: NewList(nil), pace: NewPace(),
		runs: make([][]*simRun, load.endpoints), downUntil: make([]time.Duration, load.endpoints), born: make([]int, load.endpoints),
	}
	for range load.hosts {
		s.lists = append(s.lists, NewList(nil))
		s.answers = append(s.answers, NewAnswers())
	}
	for at := time.Duration(0); at < load.length; at += time.Duration(float64(time.Second) * s.random.ExpFloat64() / load.perSecond) {
		s.at(at, func() { s.send(s.newRequest()) })
	}
	for _, at := range load.waves {
		s.at(at, s.wave)
	}
	for _, at := range load.deadlyAt {
		for _, again := range []time.Duration{0, load.deadlyRetry} {
			s.at(at+again, func() { s.send(&simRequest{keys: KeysOf(deadly, nil), faulty: true}) })
		}
	}
	for _, at := range load.strayAt {
		s.at(at, func() {
			if e := s.random.IntN(s.load.endpoints); s.now >= s.downUntil[e] {
				s.crash(e)
			}
		})
	}
	for at := time.Duration(0); at < load.length; at += 20 * time.Millisecond {
		s.at(at, s.evaluate)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *sim) at(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: at, seq: s.seq, run: do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *sim) clock() time.Time { return simStart.Add(s.now) }

// delay returns the time of a message between hosts.
func (s *sim) delay() time.Duration {
	return time.Duration(1+s.random.IntN(30)) * time.Millisecond
}

func (s *sim) newRequest() *simRequest {
	s.requests++
	r := &simRequest{id: s.requests}
	parts := []string{fmt.Sprintf("a%d", s.random.IntN(s.load.firstParts)), fmt.Sprintf("b%d", s.random.IntN(s.load.secondParts))}
	if s.now >= s.load.faultyFrom && s.random.Float64() < s.load.share {
		r.faulty = true
		parts = slices.Insert(parts, min(s.load.position, len(parts)), faultyPart)
	}
	r.keys = KeysOf(fmt.Sprint(r.id), parts)
	return r
}

// send sends a request to an endpoint that is up and has a free slot.
func (s *sim) send(r *simRequest) {
	host := s.random.IntN(s.load.hosts)
	if s.lists[host].Match(s.clock(), r.keys) != nil || s.list.Match(s.clock(), r.keys) != nil {
		if !r.faulty {
			s.refused++
		}
		return
	}
	if wait := s.pace.Wait(s.clock(), r.keys); wait > 0 {
		if r.waited += wait; r.waited <= simPatience {
			s.after(wait, func() { s.send(r) })
		}
		return
	}
	e := s.random.IntN(s.load.endpoints)
	for range s.load.endpoints {
		if s.now >= s.downUntil[e] && len(s.runs[e]) < s.load.slots {
			break
		}
		e = (e + 1) % s.load.endpoints
	}
	if s.now < s.downUntil[e] || len(s.runs[e]) >= s.load.slots {
		return
	}
	r.sent++
	s.pace.Granted(s.clock(), r.keys)
	run := &simRun{request: r, host: host, endpoint: e}
	s.runs[e] = append(s.runs[e], run)
	first := time.Duration(40+s.random.IntN(120)) * time.Millisecond
	if r.faulty {
		s.faultyRuns = append(s.faultyRuns, s.now)
		s.after(first, func() {
			if !run.ended {
				s.crashed = append(s.crashed, s.now)
				s.crash(e)
			}
		})
		return
	}
	s.after(first+60*time.Millisecond, func() {
		if !run.ended {
			run.responding = true
			s.report(host, s.answers[host].Record(s.clock(), r.keys))
		}
	})
	s.after(first+time.Duration(200+s.random.IntN(1000))*time.Millisecond, func() { s.finish(run) })
}

func (s *sim) finish(run *simRun) {
	if run.ended {
		return
	}
	run.ended = true
	s.answered++
	s.runs[run.endpoint] = slices.DeleteFunc(s.runs[run.endpoint], func(o *simRun) bool { return o == run })
}

// crash ends an endpoint and all its runs; the hosts report and retry them.
func (s *sim) crash(e int) {
	s.downUntil[e] = s.now + s.load.down
	id := fmt.Sprintf("%d.%d", e, s.born[e])
	s.born[e]++
	ready := 0
	for i := range s.downUntil {
		if s.now >= s.downUntil[i] {
			ready++
		}
	}
	for _, run := range s.runs[e] {
		run.ended = true
		c := Crash{Endpoint: id, Service: "s", Endpoints: ready + 1, Attempt: fmt.Sprintf("%d@%s", run.request.id, id)}
		if !run.responding {
			c.Keys = run.request.keys
		}
		s.after(s.delay(), func() { s.tracker.RecordCrash(s.clock(), &c) })
		if run.request.sent <= s.load.retries {
			s.after(s.load.retryDelay+s.delay(), func() { s.send(run.request) })
		}
	}
	s.runs[e] = nil
}

func (s *sim) wave() {
	for e := range s.load.endpoints {
		if s.now >= s.downUntil[e] && s.random.Float64() < s.load.waveShare {
			s.crash(e)
		}
	}
}

func (s *sim) report(_ int, answers []Answer) {
	for _, a := range answers {
		s.after(s.delay(), func() { s.tracker.RecordAnswer(s.clock(), a) })
	}
}

// evaluate does what the scheduling host does every 20 ms.
func (s *sim) evaluate() {
	if !s.tracker.Due(s.clock()) {
		return
	}
	var known []Combination
	for _, v := range s.list.All(s.clock()) {
		known = append(known, v.Keys)
	}
	verdicts := s.tracker.Evaluate(s.clock(), known)
	for _, v := range verdicts {
		s.verdicts = append(s.verdicts, v)
		s.list.Add(s.clock(), Conviction{Keys: v, Left: ConvictionTTL})
	}
	suspects := s.tracker.Suspects()
	if len(verdicts) == 0 && slices.Equal(suspects, s.suspects) {
		return
	}
	s.suspects = suspects
	s.pace.SetSuspects(suspects)
	for host := range s.lists {
		s.after(s.delay(), func() {
			for _, v := range verdicts {
				s.lists[host].Add(s.clock(), Conviction{Keys: v, Left: ConvictionTTL})
			}
			s.report(host, s.answers[host].SetSuspects(s.clock(), suspects))
		})
	}
}
