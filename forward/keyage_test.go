package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestKeyAge guards against keys that are accepted beyond the bound, and against requests that are
// refused within it.
func TestKeyAge(t *testing.T) {
	read := time.Unix(1000, 0)
	const bound = 5 * time.Second
	for _, c := range []struct {
		name      string
		confirmed time.Time
		bound     time.Duration
		reachable bool
		want      ageVerdict
	}{
		{"no bound, nothing confirmed", time.Time{}, 0, false, ageSound},
		{"just confirmed", read, bound, false, ageSound},
		{"confirmed after the request was read", read.Add(time.Second), bound, false, ageSound},
		{"last moment", read.Add(-bound + 1), bound, false, ageSound},
		{"at the bound, store reachable", read.Add(-bound), bound, true, ageConfirm},
		{"at the bound, store not reachable", read.Add(-bound), bound, false, ageRefuse},
		{"beyond the bound, store reachable", read.Add(-time.Hour), bound, true, ageConfirm},
		{"nothing confirmed, store reachable", time.Time{}, bound, true, ageConfirm},
		{"nothing confirmed, store not reachable", time.Time{}, bound, false, ageRefuse},
	} {
		if got := (keyAge{read: read, confirmed: c.confirmed, bound: c.bound, reachable: c.reachable}).verdict(); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

const (
	replayBound = 5 * time.Second
	// replayPoll is the wait of the reads that follow the configuration, replayRead the time
	// after which a read without an answer is given up, replayEnd the length of a replay.
	replayPoll = replayBound / 10
	replayRead = replayPoll + 800*time.Millisecond
	replayEnd  = time.Minute
)

// replayRevocation is a history of one host: it follows the configuration, is cut off from the store
// for a while, and a key is taken away at some time. Times count from the start.
type replayRevocation struct {
	random *rand.Rand
	// removed is when the store acknowledged the configuration without the key.
	removed          time.Duration
	cutFrom, cutTill time.Duration
	reads            []replayedRead
}

// replayedRead is one read of the configuration.
type replayedRead struct {
	sent, ended time.Duration
	// served is when the store looked at the configuration for the last time; zero if the read failed.
	served time.Duration
}

func (r *replayRevocation) latency() time.Duration {
	// The store takes 4 ms, and 60 times as long when it is slow.
	return time.Duration(1+r.random.IntN(240)) * time.Millisecond
}

// cut reports whether the host is cut off at some time of an interval.
func (r *replayRevocation) cut(from, till time.Duration) bool {
	return from < r.cutTill && till > r.cutFrom
}

// follow has the host follow the configuration.
func (r *replayRevocation) follow() {
	for at := time.Duration(0); at < replayEnd; at += 50 * time.Millisecond {
		read := replayedRead{sent: at}
		there, back := r.latency(), r.latency()
		read.served = at + there + replayPoll
		if r.removed > at+there && r.removed < read.served {
			read.served = r.removed
		}
		read.ended = read.served + back
		if r.cut(read.sent, read.ended) {
			read.served, read.ended = 0, at+time.Duration(r.random.Int64N(int64(replayRead)))
		}
		r.reads = append(r.reads, read)
		at = read.ended
	}
}

// request decides on a request that was sent at a time and read later, and returns whether it is
// admitted by its key.
func (r *replayRevocation) request(read time.Duration) bool {
	origin := time.Unix(0, 0)
	age := keyAge{read: origin.Add(read), bound: replayBound}
	view := time.Duration(0)
	for _, past := range r.reads {
		if past.ended > read {
			break
		}
		if age.reachable = past.served > 0; age.reachable {
			view, age.confirmed = past.served, origin.Add(past.sent)
		}
	}
	switch age.verdict() {
	case ageSound:
	case ageConfirm:
		served := read + r.latency()
		if r.cut(read, served+r.latency()) {
			return false
		}
		view = served
	default:
		return false
	}
	return view == 0 || view < r.removed
}

// TestRevocationReplay replays cuts from the store while a key is taken away: no request that was sent
// more than the bound after that is admitted, and none with a valid key is refused in the first
// 0.6 of the bound of a cut.
func TestRevocationReplay(t *testing.T) {
	admittedLate, refused := 0, 0
	for seed := range uint64(120) {
		r := &replayRevocation{random: rand.New(rand.NewPCG(seed, 1))}
		r.cutFrom = 5*time.Second + time.Duration(r.random.Int64N(int64(20*time.Second)))
		r.cutTill = r.cutFrom + time.Duration(r.random.Int64N(int64(20*time.Second)))
		r.removed = time.Duration(r.random.Int64N(int64(replayEnd)))
		r.follow()
		for at := 2 * time.Second; at < replayEnd; at += 25 * time.Millisecond {
			sent := at - time.Duration(r.random.Int64N(int64(50*time.Millisecond)))
			admitted := r.request(at)
			what := fmt.Sprintf("seed %d, key removed at %s, cut from %s till %s: request sent at %s, read at %s", seed, r.removed, r.cutFrom, r.cutTill, sent, at)
			if admitted && sent > r.removed+replayBound {
				t.Fatalf("%s is admitted", what)
			}
			if !admitted && at < r.removed && at < r.cutFrom+replayBound*6/10 {
				t.Fatalf("%s is refused", what)
			}
			if admitted && at > r.removed {
				admittedLate++
			}
			if !admitted && at < r.removed {
				refused++
			}
		}
	}
	if admittedLate == 0 || refused == 0 {
		t.Errorf("%d requests used a key that was gone, %d were refused in a cut: the replay shows nothing", admittedLate, refused)
	}
}
