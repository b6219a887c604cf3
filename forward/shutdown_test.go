package forward

import (
	"math/rand/v2"
	"testing"
	"time"
)

// testShutdown is the schedule of a host that was told to stop at a time, with 8 s of grace.
func testShutdown(begun time.Time) *Shutdown {
	return &Shutdown{Closes: begun.Add(2500 * time.Millisecond), Ends: begun.Add(6770 * time.Millisecond)}
}

func TestShutdownAdmits(t *testing.T) {
	begun := time.Unix(1000, 0)
	s := testShutdown(begun)
	const known = durationsKept
	for name, c := range map[string]struct {
		shutdown     *Shutdown
		arrived, now time.Duration
		deadline     time.Duration
		once         bool
		known        int
		longest      time.Duration
		passed       bool
	}{
		"no shutdown":                          {nil, 0, 0, time.Hour, true, 0, 0, true},
		"ends by its deadline":                 {s, 0, 0, 6770 * time.Millisecond, true, 0, 0, true},
		"ends by its deadline, takes long":     {s, 0, time.Second, 6 * time.Second, true, known, 5 * time.Second, true},
		"once, nothing known":                  {s, 0, 0, 7 * time.Second, true, 0, 0, false},
		"once, little known":                   {s, 0, 0, 7 * time.Second, true, minDurations - 1, time.Millisecond, false},
		"once, brief, few known":               {s, 2 * time.Second, 2 * time.Second, 7 * time.Second, true, minDurations, time.Second, true},
		"once, longer, few known":              {s, 2 * time.Second, 2 * time.Second, 7 * time.Second, true, minDurations, 2 * time.Second, false},
		"once, brief":                          {s, 2 * time.Second, 2 * time.Second, 7 * time.Second, true, known, time.Second, true},
		"once, brief, passed on late":          {s, 2 * time.Second, 6 * time.Second, 7 * time.Second, true, known, time.Second, false},
		"once, long":                           {s, 2 * time.Second, 2 * time.Second, 12 * time.Second, true, known, 4 * time.Second, false},
		"may repeat, nothing known":            {s, 2 * time.Second, 2 * time.Second, 12 * time.Second, false, 0, 0, true},
		"may repeat, one was long":             {s, 2 * time.Second, 2 * time.Second, 12 * time.Second, false, 1, 4 * time.Second, false},
		"came when the host takes no more":     {s, 2500 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second, false, known, time.Millisecond, false},
		"came before, placed when it's closed": {s, 2 * time.Second, 3 * time.Second, 12 * time.Second, true, known, time.Second, true},
	} {
		got := c.shutdown.admits(begun.Add(c.now), &candidate{
			arrived: begun.Add(c.arrived), deadline: begun.Add(c.deadline), once: c.once, known: c.known, longest: c.longest,
		})
		if got != c.passed {
			t.Errorf("%s: passed on %t", name, got)
		}
	}
}

// TestShutdownOnACalmDayCutsNoneAndRefusesFew replays the requests of a host over the two seconds
// in which it still gets some: brief ones, streams of a second or two, ones that last up to ten
// seconds, and a route that had no request before.
func TestShutdownOnACalmDayCutsNoneAndRefusesFew(t *testing.T) {
	routes := []struct {
		name        string
		perSecond   int
		min, spread time.Duration
		timeout     time.Duration
		fresh       bool
		// maxRefused is the share that may be refused.
		maxRefused float64
	}{
		{"brief", 10, 5 * time.Millisecond, 100 * time.Millisecond, 1200 * time.Millisecond, false, 0},
		{"streams", 8, 800 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second, false, 0},
		{"streams, long timeout", 8, 800 * time.Millisecond, 1200 * time.Millisecond, 15 * time.Second, false, 0},
		{"long", 2, time.Second, 9 * time.Second, 15 * time.Second, false, 1},
		{"fresh", 2, time.Second, 9 * time.Second, 15 * time.Second, true, 1},
	}
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 0))
		begun := time.Unix(1000, 0)
		s, d := testShutdown(begun), newDurations()
		for _, r := range routes {
			key := durationsKey{route: r.name}
			draw := func() time.Duration { return r.min + time.Duration(random.Int64N(int64(r.spread))) }
			for n := 30 * r.perSecond; n > 0 && !r.fresh; n-- {
				took := draw()
				d.add(key, duration{ended: begun.Add(-time.Duration(n) * time.Second / time.Duration(r.perSecond)), total: took, run: took})
			}
			refused, asked := 0, 2*r.perSecond
			for n := range asked {
				now, took := begun.Add(time.Duration(n)*time.Second/time.Duration(r.perSecond)), draw()
				known, longest := d.longest(now, key)
				c := &candidate{arrived: now, deadline: now.Add(r.timeout), once: true, known: known, longest: longest.total}
				switch passed := s.admits(now, c); {
				case !passed:
					refused++
				case now.Add(min(took, r.timeout)).After(s.Ends):
					t.Errorf("seed %d, %s: a request of %s that came after %s was passed on", seed, r.name, took, now.Sub(begun))
				}
			}
			if float64(refused) > r.maxRefused*float64(asked) {
				t.Errorf("seed %d, %s: %d of %d requests were refused", seed, r.name, refused, asked)
			}
		}
	}
}

// TestBoundHoldsForDurationsWithoutMemory draws durations that know nothing of how long they have
// lasted, the least favourable ones of a service.
func TestBoundHoldsForDurationsWithoutMemory(t *testing.T) {
	const draws = 20_000
	random := rand.New(rand.NewPCG(1, 0))
	for _, known := range []int{minDurations, 8, 16, durationsKept} {
		exceeded := 0
		for range draws {
			c := candidate{known: known}
			for range known {
				c.longest = max(c.longest, time.Duration(random.ExpFloat64()*float64(time.Second)))
			}
			if time.Duration(random.ExpFloat64()*float64(time.Second)) > c.bound() {
				exceeded++
			}
		}
		if exceeded > draws/40 {
			t.Errorf("%d of %d requests exceed the bound from %d", exceeded, draws, known)
		}
	}
}

func TestDurationsForget(t *testing.T) {
	d, now := newDurations(), time.Unix(1000, 0)
	key := durationsKey{route: "r", service: "s"}
	for n := range 2 * durationsKept {
		d.add(key, duration{ended: now, total: time.Duration(2*durationsKept-n) * time.Second, run: time.Second})
	}
	if known, longest := d.longest(now, key); known != durationsKept || longest.total != durationsKept*time.Second || longest.run != time.Second {
		t.Errorf("%d durations, longest %+v", known, longest)
	}
	if known, _ := d.longest(now.Add(durationsAge+1), key); known != 0 {
		t.Errorf("%d durations are kept too long", known)
	}
	for n := range 2 * maxDurationRoutes {
		d.add(durationsKey{route: "r", service: string(rune('a' + n))}, duration{ended: now.Add(2 * durationsAge)})
	}
	if len(d.routes) > maxDurationRoutes {
		t.Errorf("durations of %d routes are kept", len(d.routes))
	}
}
