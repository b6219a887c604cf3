package blame

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// The bounds of the users: so many requests with the part may reach endpoints later than
// boundDelay after crash number boundCrashes.
const (
	boundCrashes = 5
	boundDelay   = 3 * time.Second
	boundRuns    = 3
)

// lateRuns returns how many requests with the faulty part reached endpoints beyond the bound.
func (s *sim) lateRuns() (n int) {
	if len(s.crashed) < boundCrashes {
		return 0
	}
	for _, at := range s.faultyRuns {
		if at > s.crashed[boundCrashes-1]+boundDelay {
			n++
		}
	}
	return n
}

// check returns what is wrong with the verdicts of a simulation with a faulty part.
func (s *sim) check() string {
	for _, v := range s.verdicts {
		if !slices.Contains(v, PartKey(faultyPart)) {
			return fmt.Sprintf("%s was convicted, %q", v, s.verdicts)
		}
	}
	if n := s.lateRuns(); n > boundRuns {
		return fmt.Sprintf("%d requests with the part reached endpoints beyond the bound, of %d; verdicts %q", n, len(s.faultyRuns), s.verdicts)
	}
	return ""
}

// defaultSeeds is the number of seeds of each load; BLAME_SEEDS sets another one.
const defaultSeeds = 10

func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("BLAME_SEEDS")); err == nil {
		return n
	}
	return defaultSeeds
}

// loads are the loads of the simulations, from a service of four endpoints to a grown one.
var loads = map[string]simLoad{
	"many endpoints": {endpoints: 18, hosts: 11, slots: 8, perSecond: 70, firstParts: 8, secondParts: 576, position: 2},
	"few endpoints":  {endpoints: 4, hosts: 3, slots: 8, perSecond: 12, firstParts: 3, secondParts: 40, position: 1},
	"grown":          {endpoints: 60, hosts: 60, slots: 8, perSecond: 220, firstParts: 8, secondParts: 900, position: 0},
	"one prompt":     {endpoints: 12, hosts: 10, slots: 8, perSecond: 50, firstParts: 1, secondParts: 1, position: 1},
}

func simulate(t *testing.T, check func(seed uint64) string) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(27)
	parameters.MinSuccessfulTests = seeds()
	properties := gopter.NewProperties(parameters)
	properties.Property("verdicts", prop.ForAll(check, gen.UInt64()))
	properties.TestingRun(t)
}

// TestFaultyPartIsConvictedAlone simulates requests, no two alike, with a part that crashes
// endpoints, at several shares: it must be convicted in time, and no part beside it.
func TestFaultyPartIsConvictedAlone(t *testing.T) {
	for name, load := range loads {
		for _, share := range []float64{0.01, 0.05, 0.3, 0.6} {
			t.Run(fmt.Sprintf("%s/%g", name, share), func(t *testing.T) {
				load.share, load.retries, load.retryDelay = share, 1, 20*time.Millisecond
				load.down, load.faultyFrom, load.length = 3*time.Second, 2*time.Second, 20*time.Second
				simulate(t, func(seed uint64) string { return runSim(load, seed).check() })
			})
		}
	}
}

// TestFaultyPartAmongOtherCrashes lets endpoints crash for another reason too, three in ten
// at a time, under requests that are retried until the next ones crash.
func TestFaultyPartAmongOtherCrashes(t *testing.T) {
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			load.share, load.retries, load.retryDelay = 0.04, 3, 350*time.Millisecond
			load.down, load.length, load.waves, load.waveShare = 400*time.Millisecond, 20*time.Second, wavesOfCrashes(), 0.3
			simulate(t, func(seed uint64) string { return runSim(load, seed).check() })
		})
	}
}

// wavesOfCrashes are the moments of a day on which endpoints crash in quick succession.
func wavesOfCrashes() (out []time.Duration) {
	for _, at := range []time.Duration{5 * time.Second, 11 * time.Second, 17 * time.Second} {
		for i := range 5 {
			out = append(out, at+time.Duration(i)*400*time.Millisecond)
		}
	}
	return out
}

// TestCrashesConvictNoSoundRequest crashes endpoints under sound requests alone: three in
// ten at a time, or all at once.
func TestCrashesConvictNoSoundRequest(t *testing.T) {
	for name, load := range loads {
		for _, share := range []float64{0.1, 0.3, 1} {
			t.Run(fmt.Sprintf("%s/%g", name, share), func(t *testing.T) {
				load.retries, load.retryDelay = 3, 350*time.Millisecond
				load.down, load.length, load.waves, load.waveShare = 400*time.Millisecond, 20*time.Second, wavesOfCrashes(), share
				simulate(t, func(seed uint64) string {
					if s := runSim(load, seed); len(s.verdicts) > 0 {
						return fmt.Sprintf("convicted: %q", s.verdicts)
					}
					return ""
				})
			})
		}
	}
}

// crashAt records the crash of an endpoint under a request with the given keys.
func crashAt(t *Tracker, now time.Time, endpoint string, keys ...Key) {
	t.RecordCrash(now, &Crash{Endpoint: endpoint, Service: "s", Endpoints: 20, Attempt: "a@" + endpoint, Keys: keys})
}

// TestRequestThatBreaksEndpointsIsKeptFromOthers checks that a request is convicted once it
// has crashed enough different endpoints and the hosts were heard, and not before.
func TestRequestThatBreaksEndpointsIsKeptFromOthers(t *testing.T) {
	tracker, now := NewTracker(), simStart
	const crashes = 4 // Of 20 endpoints, three in a row are not unlikely enough.
	for i := range crashes {
		now = now.Add(time.Second)
		for range 3 { // The reports of several hosts.
			crashAt(tracker, now, fmt.Sprint(i), "request:r")
		}
		crashAt(tracker, now, fmt.Sprint(i%2), "request:other")
		if i > 0 && i < crashes-1 {
			continue // So that the suspect is announced with the last crash only.
		}
		if got := tracker.Evaluate(now.Add(settle), nil); got != nil {
			t.Errorf("after %d crashes: convicted %v before the hosts were heard", i+1, got)
		}
	}
	now = now.Add(settle + hearing)
	if !tracker.Due(now) {
		t.Error("the verdict is not due when the hosts were heard")
	}
	got := tracker.Evaluate(now, nil)
	if len(got) != 1 || got[0].String() != "request:r" {
		t.Errorf("convicted %v", got)
	}
	if got := tracker.Evaluate(now, got); got != nil {
		t.Errorf("convicted again: %v", got)
	}
	if now = now.Add(crashRetention); tracker.Evaluate(now, nil) != nil || len(tracker.Suspects()) > 0 {
		t.Error("crashes count after the retention period")
	}
}

// TestAnsweredKeyIsCleared checks that an answer clears a key of all crashes before it, and
// that what can't be told apart is convicted together and told apart by further crashes.
func TestAnsweredKeyIsCleared(t *testing.T) {
	tracker, now := NewTracker(), simStart
	step := func(endpoint string, keys ...Key) []Combination {
		now = now.Add(time.Second)
		crashAt(tracker, now, endpoint, keys...)
		return tracker.Evaluate(now.Add(settle), nil)
	}
	for i := range 6 {
		if got := step(fmt.Sprint("s", i), "part:sound"); got != nil {
			t.Errorf("convicted %v", got)
		}
		tracker.RecordAnswer(now.Add(time.Millisecond), Answer{Key: "part:sound"})
	}
	var got []Combination
	for i := range 4 {
		got = step(fmt.Sprint("x", i), Key(fmt.Sprintf("request:%d", i)), "part:sound", "part:b", "part:x")
		tracker.RecordAnswer(now.Add(time.Millisecond), Answer{Key: "part:sound"})
	}
	if len(got) != 1 || got[0].String() != "part:b part:x" {
		t.Fatalf("convicted %v", got)
	}
	convicted := got
	for i := range narrowingCrashes {
		now = now.Add(time.Second)
		crashAt(tracker, now, fmt.Sprint("y", i), Key(fmt.Sprintf("request:y%d", i)), "part:c", "part:x")
		got = tracker.Evaluate(now.Add(settle), convicted)
	}
	if len(got) != 1 || got[0].String() != "part:x" {
		t.Errorf("after further crashes convicted %v", got)
	}
}

// TestNarrowingNeedsUnlikelyCrashes lets a sound key, convicted together with the one that
// crashes endpoints, stand beside crashes of a third of the endpoints: it must not be
// convicted alone.
func TestNarrowingNeedsUnlikelyCrashes(t *testing.T) {
	tracker, now := NewTracker(), simStart
	convicted := []Combination{NewCombination("part:b", "part:x")}
	for wave := range 3 {
		now = now.Add(time.Second)
		for i := range 7 {
			keys := []Key{"part:other"}
			if i == 0 {
				keys = []Key{"part:b"}
			}
			crashAt(tracker, now, fmt.Sprint(wave, i), keys...)
		}
		tracker.RecordAnswer(now.Add(time.Millisecond), Answer{Key: "part:other"})
		if got := tracker.Evaluate(now.Add(settle+hearing), convicted); got != nil {
			t.Errorf("after %d waves: convicted %v", wave+1, got)
		}
	}
}

// TestReportsOfOneCrashCountOnce checks that the reports of several hosts, and those that
// are repeated to a new scheduler, count as one crash.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	tracker, now := NewTracker(), simStart
	for i := range 20 {
		now = now.Add(time.Second)
		tracker.RecordCrash(now, &Crash{Endpoint: "e", Endpoints: 20, Attempt: fmt.Sprint(i), Keys: []Key{"part:x"}, Age: time.Duration(i) * time.Second})
	}
	if got := tracker.Evaluate(now, nil); got != nil || len(tracker.Suspects()) > 0 {
		t.Errorf("convicted %v, suspects %v", got, tracker.Suspects())
	}
}

// TestTrackerIsBounded reports more crashes and keys than are remembered.
func TestTrackerIsBounded(t *testing.T) {
	tracker, now := NewTracker(), simStart
	for i := range 3 * maxCrashesKept {
		now = now.Add(time.Millisecond)
		for j := range 2 * maxRunsPerCrash {
			tracker.RecordCrash(now, &Crash{Endpoint: fmt.Sprint(i), Endpoints: 20, Attempt: fmt.Sprint(j), Keys: []Key{Key(fmt.Sprint(i, j))}})
		}
	}
	if len(tracker.crashes) > maxCrashesKept {
		t.Errorf("%d crashes kept", len(tracker.crashes))
	}
	for _, c := range tracker.crashes {
		if len(c.runs) > maxRunsPerCrash {
			t.Fatalf("%d runs kept of one crash", len(c.runs))
		}
	}
}

// TestCrashesElsewhereDoNotPutOffTheVerdict guards against a request that goes on crashing the three
// endpoints of a service, as endpoints of another service, which it can't reach, crash beside them.
func TestCrashesElsewhereDoNotPutOffTheVerdict(t *testing.T) {
	tracker, now := NewTracker(), simStart
	crash := func(service, endpoint string, endpoints int, keys ...Key) {
		tracker.RecordCrash(now, &Crash{Endpoint: endpoint, Service: service, Endpoints: endpoints, Attempt: "a@" + endpoint, Keys: keys})
	}
	var verdicts []Combination
	const moments = 4
	for moment := range moments {
		now = now.Add(time.Second)
		for i := range 3 {
			crash("plain", fmt.Sprintf("p%d.%d", i, moment), 3, "request:r")
		}
		if moment == 1 {
			for i := range 3 {
				crash("engine", fmt.Sprintf("e%d", i), 12, Key(fmt.Sprintf("request:sound%d", i)))
			}
		}
		verdicts = append(verdicts, tracker.Evaluate(now.Add(settle+hearing), verdicts)...)
	}
	if len(verdicts) != 1 || verdicts[0].String() != "request:r" {
		t.Errorf("convicted %v after %d crashes at %d moments", verdicts, 3*moments, moments)
	}
}

// smallServices are the loads of services of few endpoints.
func smallServices() map[string]simLoad {
	const interval, length = 4 * time.Second, 45 * time.Second
	var times []time.Duration
	for at := interval; at < length; at += interval {
		times = append(times, at)
	}
	out := make(map[string]simLoad)
	for _, endpoints := range []int{1, 2, 3, 6} {
		out[fmt.Sprint(endpoints)] = simLoad{
			endpoints: endpoints, hosts: 3, slots: 8, perSecond: 4 * float64(endpoints), firstParts: 1, secondParts: 1000,
			retries: 1, retryDelay: 20 * time.Millisecond, deadlyAt: times, deadlyRetry: 400 * time.Millisecond,
			down: 3 * time.Second, length: length,
		}
	}
	return out
}

// TestDeadlyRequestOfASmallService has one request come again and again that crashes each endpoint
// of a service of few, alone and beside a crash that it did not cause: it must be convicted in
// time, and no sound request.
func TestDeadlyRequestOfASmallService(t *testing.T) {
	const (
		crashes = 3
		delay   = 3 * time.Second
		runs    = 3
	)
	for name, load := range smallServices() {
		for _, strays := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s/%d", name, strays), func(t *testing.T) {
				load.strayAt = []time.Duration{7500 * time.Millisecond}[:strays]
				simulate(t, func(seed uint64) string {
					s := runSim(load, seed)
					for _, v := range s.verdicts {
						if v.String() != requestPrefix+deadly {
							return fmt.Sprintf("%s was convicted", v)
						}
					}
					late := 0
					for _, at := range s.faultyRuns {
						if len(s.crashed) >= crashes && at > s.crashed[crashes-1]+delay {
							late++
						}
					}
					if late > runs {
						return fmt.Sprintf("%d runs beyond the bound of %d, verdicts %q", late, len(s.faultyRuns), s.verdicts)
					}
					return ""
				})
			})
		}
	}
}
