package relay

import (
	"time"

	"github.com/peridotmount/peridotmount/peers"
)

const (
	// probeEvery is the time between two probes of the direct way while it is lost.
	probeEvery = 500 * time.Millisecond
	// hostPause is how long a host is passed over that did not relay a call.
	hostPause = time.Second
	// relayTries is how many hosts in a row may fail before the store counts as away for
	// all: three of a fleet that lose it alone are rare.
	relayTries = 3
	// firstAway and lastAway bound the time without tries at other hosts after that, in
	// which three hundred hosts must not ask one another in vain.
	firstAway = time.Second
	lastAway  = 4 * time.Second
	// throttledTime and throttledCalls are for how long, and for how many calls, the store
	// must throttle this host without serving it once before another host is tried: a
	// store that throttles all serves each of them some calls a second.
	throttledTime  = time.Second
	throttledCalls = 4
)

// way chooses how calls reach the store. It is a deterministic state machine without a
// clock; it is not safe for concurrent use.
//
// The load it answers: the store serves two thirds of the hosts for nine seconds, or a
// partition keeps some hosts from it for thirteen, while callers hand in batch jobs at
// all of them.
//
// Invariants: a call goes to another host only while direct ones fail; a direct call that
// succeeds ends that.
type way struct {
	// lost tells that direct calls fail; succeeded is when one succeeded last.
	lost      bool
	succeeded time.Time
	probed    time.Time
	// throttled counts the calls that were throttled since the first one after a success,
	// at throttledFrom.
	throttled     int
	throttledFrom time.Time
	// via is the host that relayed last.
	via string
	// paused holds until when hosts are passed over.
	paused map[string]time.Time
	// failures counts the hosts that failed in a row. Until awayUntil none is tried;
	// away is how long that lasts the next time.
	failures  int
	away      time.Duration
	awayUntil time.Time
}

func newWay() *way {
	return &way{paused: make(map[string]time.Time), away: firstAway}
}

// host returns the host that relays a call, or nil for a direct one. Candidates are in
// the order in which they are preferred.
func (w *way) host(now time.Time, candidates []peers.Host) *peers.Host {
	if !w.lost || now.Before(w.awayUntil) {
		return nil
	}
	var first *peers.Host
	for i := range candidates {
		h := &candidates[i]
		if h.Leaving || h.Token == "" || now.Before(w.paused[h.Name]) {
			continue
		}
		if h.Name == w.via {
			return h
		}
		if first == nil {
			first = h
		}
	}
	return first
}

// probe reports whether the direct way is to be probed, and counts that.
func (w *way) probe(now time.Time) bool {
	if !w.lost || now.Sub(w.probed) < probeEvery {
		return false
	}
	w.probed = now
	return true
}

// direct notes the outcome of a direct call, and reports whether the way changed. A call
// that failed says nothing if one that succeeded ended after it had begun.
func (w *way) direct(began, now time.Time, succeeded bool) bool {
	before := w.lost
	switch {
	case succeeded:
		*w = *newWay()
		w.succeeded = now
	case w.succeeded.Before(began):
		w.lost = true
	}
	return w.lost != before
}

// throttle notes that the store throttled a direct call, and reports whether the way
// changed.
func (w *way) throttle(now time.Time) bool {
	if w.throttled++; w.throttled == 1 {
		w.throttledFrom = now
	}
	if w.lost || w.throttled < throttledCalls || now.Sub(w.throttledFrom) < throttledTime {
		return false
	}
	w.lost = true
	return true
}

// relayed notes the outcome of a call that a host relayed. It says nothing once direct
// calls succeed again.
func (w *way) relayed(now time.Time, host string, succeeded bool) {
	if !w.lost {
		return
	}
	if succeeded {
		w.via, w.failures, w.away = host, 0, firstAway
		delete(w.paused, host)
		return
	}
	w.paused[host] = now.Add(hostPause)
	if w.via == host {
		w.via = ""
	}
	if w.failures++; w.failures >= relayTries {
		w.failures = 0
		w.awayUntil = now.Add(w.away)
		w.away = min(2*w.away, lastAway)
		clear(w.paused)
	}
}
