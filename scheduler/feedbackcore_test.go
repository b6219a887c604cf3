package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestPaceOfEnginesIsLearned guards against engines that take twice as long and are taken for as fast as
// the others, or the reverse in the spans in which any engine takes 2.5 times as long.
func TestPaceOfEnginesIsLearned(t *testing.T) {
	slow := func(engine int) bool { return engine%4 == 0 }
	for _, seed := range seeds {
		spans := make(map[[2]int]bool)
		l := feedbackLoad{
			engines: 60, slots: 8, rate: 275, single: 0.2, length: 12 * time.Second, seed: seed, jobs: 2,
			factor: func(r *feedbackReplay, engine int, at time.Duration) float64 {
				span := [2]int{engine, int(at / slowInterval)}
				slowed, drawn := spans[span]
				if !drawn {
					slowed = r.random.Float64() < slowShare
					spans[span] = slowed
				}
				factor := 1 / 1.2
				if slow(engine) {
					factor = 1 / 0.55
				}
				if slowed {
					factor *= slowMoment
				}
				return factor
			},
		}
		o := runFeedback(t, l)
		known := 0
		for e := range 60 {
			s := o.core.endpoints[engineName(e)]
			if s.speed.eventRatio > 0 {
				known++
			}
			switch p := s.pace(); {
			case slow(e) && s.speed.eventRatio > 0 && p < 1.5:
				t.Errorf("seed %d: slow engine %d has pace %.2f", seed, e, p)
			case !slow(e) && p > 1.5:
				t.Errorf("seed %d: engine %d has pace %.2f", seed, e, p)
			}
		}
		if known < 45 {
			t.Errorf("seed %d: the pace of only %d engines is known", seed, known)
		}
		for _, n := range o.notices {
			if n > 0 {
				t.Errorf("seed %d: engines that are slow were taken for failing: %v", seed, o.notices)
				break
			}
		}
		l.off = true
		if s := runFeedback(t, l).core.endpoints[engineName(0)]; s.pace() != 1 {
			t.Errorf("seed %d: pace %.2f without feedback", seed, s.pace())
		}
	}
}

// newFeedbackCore returns a core with hosts h0 to h2 and sound engines of one slot each.
func newFeedbackCore(engines int) *Core {
	c := NewCore(Options{EndpointFeedback: true})
	listEngines(c, replayStart, engines, replayStart)
	for h := range 3 {
		c.Join(replayStart, &Hello{Host: fmt.Sprint("h", h), Zone: "0", Region: "0"})
	}
	return c
}

// listEngines lists engines, the first of which has started at a time.
func listEngines(c *Core, now time.Time, engines int, started time.Time) {
	var all []Endpoint
	for i := range engines {
		e := Endpoint{ID: engineName(i), Service: "s", Zone: "0", Region: "0", Slots: 1, Started: replayStart}
		if i == 0 {
			e.Started = started
		}
		all = append(all, e)
	}
	c.SetEndpoints(now, all)
}

// useOf begins a use of an engine by a host and returns its ticket.
func useOf(c *Core, now time.Time, host string, engine, n int) string {
	id := fmt.Sprintf("%s.%d.%d", host, engine, n)
	c.occupy(now, c.endpoints[engineName(engine)], &ticket{id: id, host: host, class: Online, since: now, work: workOf(id)}, nil)
	return id
}

// TestRestartForgetsThePaceAndTheFailures guards against an engine that is judged by the outcomes of the
// process that it has replaced.
func TestRestartForgetsThePaceAndTheFailures(t *testing.T) {
	c := newFeedbackCore(6)
	now := replayStart
	for n := range 4 {
		for e := range 6 {
			now = now.Add(10 * time.Millisecond)
			events := time.Second
			if e == 0 {
				events = 3 * time.Second
			}
			id := useOf(c, now, "h0", e, n)
			c.Done(now.Add(time.Second), Usage{Ticket: id, Outcome: Finished, Events: 11, Generating: events})
		}
		now = now.Add(time.Second)
	}
	s := c.endpoints[engineName(0)]
	if p := s.pace(); p < 2 {
		t.Fatalf("pace %.2f before the start", p)
	}
	for n := range 5 {
		now = now.Add(500 * time.Millisecond)
		c.Done(now.Add(time.Millisecond), Usage{Ticket: useOf(c, now, fmt.Sprint("h", n%3), 0, 10+n), Outcome: Errored})
	}
	if s.health.level != healthExcluded {
		t.Fatalf("the engine is %s after five failures", s.health.level)
	}
	old := useOf(c, now, "h1", 0, 20)
	now = now.Add(time.Second)
	listEngines(c, now, 6, now)
	if p := s.pace(); p != 1 {
		t.Errorf("pace %.2f after the start", p)
	}
	if s.health.level != healthReturning || s.health.evidence != 0 {
		t.Errorf("the engine is %s with evidence %.1f after the start", s.health.level, s.health.evidence)
	}
	c.Done(now.Add(time.Millisecond), Usage{Ticket: old, Outcome: Errored})
	if s.health.evidence != 0 {
		t.Errorf("evidence %.1f by a use of the former process", s.health.evidence)
	}
	now = now.Add(time.Second)
	c.Done(now.Add(time.Millisecond), Usage{Ticket: useOf(c, now, "h0", 0, 21), Outcome: Finished})
	if s.health.level != healthSound {
		t.Errorf("the engine is %s after a success of its new process", s.health.level)
	}
}

// TestUnknownReportsOfOtherBuildsDoNoHarm guards against sessions with other builds, whose reports have
// other outcomes and lack fields.
func TestUnknownReportsOfOtherBuildsDoNoHarm(t *testing.T) {
	for _, on := range []bool{true, false} {
		c := newFeedbackCore(3)
		c.opts.EndpointFeedback = on
		now := replayStart.Add(time.Second)
		for n, u := range []Usage{
			{Outcome: "later-build"}, {}, {Outcome: Finished, Events: -1, Generating: -time.Second},
			{Outcome: Finished, Events: 1 << 40, Generating: 1, FirstEvent: -5}, {Outcome: Abandoned, Silent: -time.Hour},
		} {
			u.Ticket = useOf(c, now, "h0", 0, n)
			c.Done(now.Add(time.Millisecond), u)
		}
		s := c.endpoints[engineName(0)]
		if s.health.level != healthSound || s.pace() != 1 || !s.usable(now.Add(time.Millisecond)) {
			t.Errorf("feedback %t: the engine is %s, its pace %.2f", on, s.health.level, s.pace())
		}
		c.Join(now, &Hello{Host: "h2", Failing: []FailingEndpoint{{Endpoint: "no such"}, {Endpoint: engineName(1), Failures: 1 << 30}, {Endpoint: engineName(2), Failures: 5, Age: -time.Hour}}})
		if l := c.endpoints[engineName(1)].health.level; l == healthExcluded {
			t.Errorf("feedback %t: a single host excluded an engine when it joined", on)
		}
		if l := c.endpoints[engineName(2)].health.level; l != healthSound {
			t.Errorf("feedback %t: the engine is %s by a failure in the future", on, l)
		}
	}
}

// TestErroredActsAsFinishedWithoutFeedback guards against a deployment without endpoint_feedback that is
// served differently than before.
func TestErroredActsAsFinishedWithoutFeedback(t *testing.T) {
	var states []string
	for _, outcome := range []Outcome{Finished, Errored} {
		c := newFeedbackCore(3)
		c.opts.EndpointFeedback = false
		now := replayStart.Add(time.Second)
		c.Done(now.Add(time.Millisecond), Usage{Ticket: useOf(c, now, "h0", 0, 0), Outcome: Failed})
		now = now.Add(5 * time.Millisecond)
		c.Done(now.Add(time.Second), Usage{Ticket: useOf(c, now, "h0", 0, 1), Outcome: outcome, First: time.Second, Reusable: true})
		s, v := c.endpoints[engineName(0)], c.service("s")
		states = append(states, fmt.Sprint(s.failures, s.pausedUntil, s.idleConnections, v.meanHold, v.meanFirst, s.health, s.speed))
	}
	if states[0] != states[1] {
		t.Errorf("after finished: %s\nafter errored: %s", states[0], states[1])
	}
}

// BenchmarkAdmission measures what the health and the speed of 760 endpoints add to a decision, without
// endpoints under test and with 40.
func BenchmarkAdmission(b *testing.B) {
	for _, underTest := range []int{0, 40} {
		b.Run(fmt.Sprint(underTest), func(b *testing.B) { benchmarkAdmission(b, underTest) })
	}
}

func benchmarkAdmission(b *testing.B, underTest int) {
	c := NewCore(Options{EndpointFeedback: true})
	var all []Endpoint
	for i := range 760 {
		all = append(all, Endpoint{ID: fmt.Sprint("e", i), Service: "s", Zone: "0", Region: "0", Slots: 8})
	}
	c.SetEndpoints(replayStart, all)
	c.Join(replayStart, &Hello{Host: "h0", Zone: "0", Region: "0"})
	v := c.service("s")
	now := replayStart.Add(time.Second)
	for i := range underTest {
		s := v.endpoints[i]
		for n := range 4 {
			at := now.Add(time.Duration(n) * time.Second)
			s.health.fail(at, at.Add(-time.Millisecond), uint64(n+1), minBaseRate)
		}
		c.assess(now, v, s, nil, nil)
	}
	now = now.Add(5 * time.Second)
	p := &placement{host: c.members["h0"]}
	b.ReportAllocs()
	for b.Loop() {
		v.probe(now, p)
		v.prepareAdmission(now, p)
		n := time.Duration(0)
		for _, s := range v.endpoints {
			if p.admits(now, s) {
				n += s.risk(now, false) + time.Duration(s.pace())
			}
		}
		if n == 0 {
			b.Fatal("no endpoint admits")
		}
	}
}

// TestCrashTakesEvidenceOfTheProcess guards against a reset of one response that is taken for a crash
// though other uses go on, and against crashes that are not seen.
func TestCrashTakesEvidenceOfTheProcess(t *testing.T) {
	ms := time.Millisecond
	for name, c := range map[string]struct {
		// ends are the times and outcomes of the ends of uses that began together; "" means that a
		// use goes on.
		ends    []Outcome
		at      []time.Duration
		restart bool
		crashes int
	}{
		"one of three breaks":              {ends: []Outcome{Failed, "", ""}, at: []time.Duration{0, 0, 0}},
		"two of six break at once":         {ends: []Outcome{Failed, Failed, "", "", "", ""}, at: make([]time.Duration, 6)},
		"two of four break apart":          {ends: []Outcome{Failed, Failed, "", ""}, at: []time.Duration{0, 200 * ms, 0, 0}},
		"both break, one after a response": {ends: []Outcome{Failed, Finished, Failed}, at: []time.Duration{0, 50 * ms, 100 * ms}},
		"an error between":                 {ends: []Outcome{Failed, Errored, Failed}, at: []time.Duration{0, 50 * ms, 100 * ms}},
		"both break apart":                 {ends: []Outcome{Failed, Failed}, at: []time.Duration{0, 400 * ms}, crashes: 1},
		"both break":                       {ends: []Outcome{Failed, Failed}, at: []time.Duration{0, 200 * ms}, crashes: 1},
		"the only one breaks":              {ends: []Outcome{Failed}, at: []time.Duration{0}, crashes: 1},
		"half break at once":               {ends: []Outcome{Failed, Failed, "", ""}, at: []time.Duration{0, 10 * ms, 0, 0}, crashes: 1},
		"a connection is refused":          {ends: []Outcome{Unreachable, "", ""}, at: []time.Duration{0, 0, 0}, crashes: 1},
		"one breaks before a new start":    {ends: []Outcome{Failed, "", ""}, at: []time.Duration{0, 0, 0}, restart: true, crashes: 1},
		"a new start after a response":     {ends: []Outcome{Finished, "", ""}, at: []time.Duration{0, 0, 0}, restart: true},
	} {
		co := newFeedbackCore(6)
		var ids []string
		for n := range c.ends {
			ids = append(ids, useOf(co, replayStart, fmt.Sprint("h", n%3), 0, n))
		}
		now := replayStart.Add(time.Second)
		for n, o := range c.ends {
			if o != "" {
				now = replayStart.Add(time.Second + c.at[n])
				co.Done(now, Usage{Ticket: ids[n], Outcome: o})
			}
		}
		if c.restart {
			now = now.Add(2 * time.Second)
			listEngines(co, now, 6, now)
		}
		if n := co.endpoints[engineName(0)].health.recentCrashes(now); n != c.crashes {
			t.Errorf("%s: %d crashes, want %d", name, n, c.crashes)
		}
	}
}

// TestEndpointsUnderTestTakeWhatSoundOnesCannot guards against slots that stay idle at suspected endpoints
// while work waits, and against work that endpoints get so that fail all.
func TestEndpointsUnderTestTakeWhatSoundOnesCannot(t *testing.T) {
	for _, c := range []struct {
		name     string
		failures int
		sound    bool
		// repeatable and single are whether such a request starts.
		repeatable, single bool
	}{
		{name: "sound ones have room", failures: 1, sound: true, repeatable: true, single: true},
		{name: "one failure", failures: 1, repeatable: true, single: true},
		{name: "fails all", failures: 4},
	} {
		for _, repeatable := range []bool{true, false} {
			co := newFeedbackCore(3)
			now := replayStart.Add(time.Second)
			s := co.endpoints[engineName(0)]
			for n := range c.failures {
				now = now.Add(time.Second)
				co.Done(now.Add(time.Millisecond), Usage{Ticket: useOf(co, now, fmt.Sprint("h", n%3), 0, n), Outcome: Errored})
			}
			now = now.Add(100 * time.Millisecond)
			useOf(co, now, "h1", 1, 0)
			if !c.sound {
				useOf(co, now, "h1", 2, 0)
			}
			s.health.lastTrial = now.Add(-time.Second)
			if !repeatable {
				// A test by repeatable requests is in progress, so that none is due.
				s.Slots, s.health.trials = 2, 1
			}
			co.Effects()
			co.Acquire(now, "h0", SlotRequest{
				Ticket: "t", Service: "s", Objective: 300 * time.Millisecond, Left: 5 * time.Second, Repeatable: repeatable,
			})
			at := ""
			for _, e := range co.Effects() {
				if g, ok := e.(Grant); ok {
					at = g.Endpoint
				}
			}
			want := c.single
			if repeatable {
				want = c.repeatable
			}
			if (at != "") != want {
				t.Errorf("%s, repeatable %t: granted at %q with evidence %.1f, %s", c.name, repeatable, at, s.health.evidence, s.health.level)
			}
			if c.sound && !repeatable && at != engineName(2) {
				t.Errorf("%s: a request of one attempt was granted at %q", c.name, at)
			}
		}
	}
}
