package slots

import (
	"testing"
	"time"
)

// lostAt replays a session in which the scheduler's messages are read every
// schedulerHeartbeat until silentFrom, beside a host that stands still from standsFrom to
// standsUntil and reads what has arrived readDelay after it goes on. It returns when the host
// takes the scheduler for silent; zero if not within two seconds.
func lostAt(phase, silentFrom, standsFrom, standsUntil, readDelay time.Duration) time.Duration {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	received, s := at(0), silence{}
	read := func(d time.Duration) time.Duration { return d.Truncate(schedulerHeartbeat) }
	for tick := phase; tick < 2*time.Second; tick += schedulerHeartbeat {
		now := tick
		if tick >= standsFrom && tick < standsUntil {
			if tick+schedulerHeartbeat < standsUntil {
				continue
			}
			// The ticks of the standstill are one, at its end.
			now = standsUntil
		}
		if heard := read(min(now, silentFrom)); now < standsFrom || now >= standsUntil+readDelay {
			received = at(heard)
		}
		if s.tick(at(now), received) > schedulerTimeout {
			return now
		}
	}
	return 0
}

// TestOwnStandstillIsNoSilence replays hosts that stand still for a second, or get no
// processor time, while their scheduler sends as ever: its messages are read only after the
// watch has run again. The host keeps its session. Counted by the clock alone the silence
// would be longer than schedulerTimeout.
func TestOwnStandstillIsNoSilence(t *testing.T) {
	for phase := time.Duration(0); phase < schedulerHeartbeat; phase += time.Millisecond {
		for from := 300 * time.Millisecond; from < 500*time.Millisecond; from += 7 * time.Millisecond {
			for length := 100 * time.Millisecond; length <= time.Second; length += 90 * time.Millisecond {
				if at := lostAt(phase, time.Hour, from, from+length, 40*time.Millisecond); at != 0 {
					t.Fatalf("phase %s, standstill of %s from %s on: lost at %s", phase, length, from, at)
				}
			}
		}
	}
}

// TestSilentSchedulerIsLeftInTime replays schedulers that fall silent for good: the session
// ends with the first tick after schedulerTimeout, also in hosts that stand still meanwhile,
// once these run again.
func TestSilentSchedulerIsLeftInTime(t *testing.T) {
	for phase := time.Duration(0); phase < schedulerHeartbeat; phase += time.Millisecond {
		for from := 300 * time.Millisecond; from < 500*time.Millisecond; from += 7 * time.Millisecond {
			last := from.Truncate(schedulerHeartbeat)
			if at := lostAt(phase, from, time.Hour, time.Hour, 0); at <= last+schedulerTimeout || at > last+schedulerTimeout+schedulerHeartbeat {
				t.Fatalf("phase %s, silent from %s on: lost at %s", phase, from, at)
			}
			if at := lostAt(phase, from, from, from+time.Second, 0); at == 0 || at > from+time.Second+schedulerTimeout {
				t.Fatalf("phase %s, silent and standing still from %s on: lost at %s", phase, from, at)
			}
		}
	}
}
