package gossip

import (
	"fmt"
	"testing"
	"time"
)

// maxRounds is how many rounds an entry may take to reach every host: at the
// default interval of 500 ms, a few seconds and some.
const maxRounds = 20

func heartbeats(f *fleet) {
	for name, s := range f.stores {
		s.Publish("heartbeat", name, ScopeGlobal, []byte(fmt.Sprintf(`{"state":"live","revision":%d}`, f.now.UnixNano())))
	}
}

func TestEntryReachesEveryHost(t *testing.T) {
	for _, hosts := range []int{11, 100, 410} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			for seed := range uint64(3) {
				f := newFleet(t, hosts, 2, 3, seed)
				heartbeats(f)
				for range 8 {
					f.round()
				}
				f.stores["host-000"].Publish("news", "k", ScopeGlobal, []byte(`"x"`))
				rounds := f.roundsUntil(maxRounds+1, func() bool { return f.holders("news", "k", `"x"`) == hosts })
				if rounds > maxRounds {
					t.Errorf("seed %d: %d of %d hosts hold the entry after %d rounds", seed, f.holders("news", "k", `"x"`), hosts, maxRounds)
				}
				t.Logf("seed %d: %d rounds", seed, rounds)
			}
		})
	}
}

func TestScopesAreHonoured(t *testing.T) {
	f := newFleet(t, 24, 2, 3, 1)
	self := f.peers[0]
	f.stores[self.Name].Publish("zone", "k", ScopeZone, []byte("1"))
	f.stores[self.Name].Publish("region", "k", ScopeRegion, []byte("1"))
	f.stores[self.Name].Publish("global", "k", ScopeGlobal, []byte("1"))
	for range 3 * maxRounds {
		f.round()
	}
	for _, p := range f.peers {
		s := f.stores[p.Name]
		for kind, want := range map[Kind]bool{"zone": p.Zone == self.Zone, "region": p.Region == self.Region, "global": true} {
			if got := len(s.Lookup(kind, "k")) == 1; got != want {
				t.Errorf("%s holds the %s entry: %v, want %v", p.Name, kind, got, want)
			}
		}
	}
}

// TestLossesAreMended loses a third of the messages and overwrites entries
// while they spread; in the end all hosts must hold the newest of each.
func TestLossesAreMended(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, 20, 2, 2, seed)
		f.lose = 1.0 / 3
		want := make(map[string]string)
		for range 30 {
			for range 10 {
				origin := f.peers[f.rand.IntN(len(f.peers))].Name
				key := fmt.Sprintf("%s/%d", origin, f.rand.IntN(4))
				want[key] = fmt.Sprint(f.rand.Uint32())
				f.stores[origin].Publish("k", key, ScopeGlobal, []byte(want[key]))
			}
			f.round()
		}
		for range 4 * maxRounds {
			f.round()
		}
		for key, data := range want {
			if n := f.holders("k", key, data); n != len(f.peers) {
				t.Errorf("seed %d: %s is held by %d of %d", seed, key, n, len(f.peers))
			}
		}
	}
}

// TestNewIncarnationStartsClean restarts a host: nothing of its earlier run may
// stay or come back.
func TestNewIncarnationStartsClean(t *testing.T) {
	f := newFleet(t, 12, 2, 2, 3)
	self := f.peers[4]
	f.stores[self.Name].Publish("old", "k", ScopeGlobal, []byte("1"))
	for range maxRounds {
		f.round()
	}
	f.add(self, 2)
	f.stores[self.Name].Publish("new", "k", ScopeGlobal, []byte("2"))
	for range 2 * maxRounds {
		f.round()
	}
	if n := f.holders("old", "k", "1"); n != 0 {
		t.Errorf("%d hosts hold an entry of the earlier run", n)
	}
	if n := f.holders("new", "k", "2"); n != len(f.peers) {
		t.Errorf("%d hosts hold the entry of the new run", n)
	}
}

// TestRunWithAnEarlierClockIsHeard restarts a host whose clock was set back by more than its last run
// lasted, so that the new run has the smaller incarnation: the others hear of it all the same.
func TestRunWithAnEarlierClockIsHeard(t *testing.T) {
	f := newFleet(t, 12, 2, 2, 3)
	self := f.peers[4]
	f.stores[self.Name].Publish("old", "k", ScopeGlobal, []byte("1"))
	for range maxRounds {
		f.round()
	}
	f.add(self, 0)
	f.stores[self.Name].Publish("new", "k", ScopeGlobal, []byte("2"))
	for range 2 * maxRounds {
		f.round()
	}
	if n := f.holders("new", "k", "2"); n != len(f.peers) {
		t.Errorf("%d of %d hosts hold the entry of the new run", n, len(f.peers))
	}
}

// TestRunWithAnEarlierClockIsHeardAfterAll restarts a host with ever earlier clocks, while a part of
// the messages is lost, and after the entries of its earlier runs were withdrawn or have expired, so
// that the others hold nothing but their versions. Each run is heard, and settles on one incarnation.
func TestRunWithAnEarlierClockIsHeardAfterAll(t *testing.T) {
	for name, last := range map[string]struct {
		withdrawn bool
		away      time.Duration
	}{
		"held":      {false, 0},
		"withdrawn": {true, 0},
		"expired":   {false, defaultOriginTTL},
	} {
		for seed := range uint64(3) {
			f := newFleet(t, 12, 2, 2, seed)
			f.encoded, f.lose = seed == 0, 0.2
			self := f.peers[4]
			for run := range 3 {
				f.add(self, int64(-run))
				key := fmt.Sprint(run)
				f.stores[self.Name].Publish("k", key, ScopeGlobal, []byte("1"))
				f.stores[self.Name].Publish("zone", key, ScopeZone, []byte("2"))
				heard := func() bool { return f.holders("k", key, "1") == len(f.peers) }
				if f.roundsUntil(3*maxRounds, heard); !heard() {
					t.Errorf("%s, seed %d: %d of %d hosts hold the entry of run %d", name, seed, f.holders("k", key, "1"), len(f.peers), run)
				}
				if run > 0 && f.holders("k", fmt.Sprint(run-1), "1") != 0 {
					t.Errorf("%s, seed %d: an entry of the run before %d is held", name, seed, run)
				}
				settled := f.stores[self.Name].Incarnation()
				if last.withdrawn {
					f.stores[self.Name].Withdraw("k", key)
					f.stores[self.Name].Withdraw("zone", key)
				}
				for range maxRounds {
					f.round()
				}
				if got := f.stores[self.Name].Incarnation(); got != settled {
					t.Errorf("%s, seed %d: run %d goes on from incarnation %d to %d", name, seed, run, settled, got)
				}
				f.down[self.Name] = true
				f.now = f.now.Add(last.away)
				f.round()
				f.down[self.Name] = false
			}
		}
	}
}

// TestGoneOriginExpires checks that the entries of a lost host vanish and are
// not brought back by a host that slept.
func TestGoneOriginExpires(t *testing.T) {
	f := newFleet(t, 8, 2, 2, 5)
	lost, sleeper := f.peers[1].Name, f.peers[2].Name
	f.stores[lost].Publish("k", "k", ScopeGlobal, []byte("1"))
	for range maxRounds {
		f.round()
	}
	f.down[lost], f.down[sleeper] = true, true
	saved := f.stores[sleeper].Lookup("k", "k")
	for range int(defaultOriginTTL/roundTime) + 1 {
		f.round()
	}
	if n := f.holders("k", "k", "1"); n != 1 {
		t.Fatalf("%d hosts hold the lost host's entry, want its own store alone", n)
	}
	for _, p := range f.peers {
		s := f.stores[p.Name]
		s.receive(&Message{From: f.peers[2], Entries: saved})
		if p.Name != lost && len(s.Lookup("k", "k")) != 0 {
			t.Errorf("%s took the entry back", p.Name)
		}
	}
}

func TestWithdrawnStaysWithdrawn(t *testing.T) {
	f := newFleet(t, 8, 2, 2, 5)
	s := f.stores[f.peers[0].Name]
	s.Publish("k", "k", ScopeGlobal, []byte("1"))
	for range maxRounds {
		f.round()
	}
	s.Withdraw("k", "k")
	rounds := f.roundsUntil(maxRounds, func() bool { return f.holders("k", "k", "1") == 0 })
	if rounds == maxRounds {
		t.Fatalf("%d hosts hold a withdrawn entry", f.holders("k", "k", "1"))
	}
	for range int(defaultTombstoneTTL/roundTime) + 1 {
		f.round()
	}
	if n := len(s.index); n != 0 {
		t.Errorf("%d kinds are held after the tombstone's age", n)
	}
}
