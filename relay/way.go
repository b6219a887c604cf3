package relay

import (
	"time"

	"github.com/peridotmount/peridotmount/peers"
)

const (
	// probeInterval is the time between two probes of the direct path while it is down.
	probeInterval = 500 * time.Millisecond
	// relayPause is how long a host that failed to relay a call is not selected.
	relayPause = time.Second
	// maxRelayFailures is the number of consecutive relay failures after which the
	// store is assumed to be unreachable from all hosts: that three relays fail in a
	// row while it serves the rest of the fleet is rare.
	maxRelayFailures = 3
	// minBackoff and maxBackoff bound the time after such failures in which no call is
	// relayed, so that 300 hosts do not flood one another with calls that cannot
	// succeed.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// minThrottledTime and minThrottledCalls are the time and the number of calls
	// for which the store must throttle this host, without serving any direct call,
	// before calls are relayed. A store that throttles all hosts still serves each a
	// few calls per second.
	minThrottledTime  = time.Second
	minThrottledCalls = 4
)

// selector chooses the path of calls to the store: direct, or relayed by another
// host. It is a deterministic state machine that takes the time as an argument, and
// is not safe for concurrent use.
//
// It is designed for two faults that occur while callers submit batch jobs at all
// hosts: the store serves only two thirds of the hosts for nine seconds, or a
// partition cuts some hosts off from it for thirteen seconds.
//
// Invariants: calls are relayed only while the direct path is down; a direct call that
// succeeds marks it as up again.
type selector struct {
	// directDown means that direct calls fail. lastSuccess is when a direct call last
	// succeeded, lastProbe when the last probe was sent.
	directDown  bool
	lastSuccess time.Time
	lastProbe   time.Time
	// throttledCalls counts the direct calls that the store throttled since the last
	// success; the first of them was at throttledSince.
	throttledCalls int
	throttledSince time.Time
	// relay is the name of the host that relayed the last successful call, or "" if it
	// has failed since.
	relay string
	// pausedUntil maps the name of a host that failed to relay to the end of its pause.
	pausedUntil map[string]time.Time
	// failures counts consecutive relay failures. No call is relayed until
	// backoffUntil; backoff is the length of the next such period.
	failures     int
	backoff      time.Duration
	backoffUntil time.Time
}

func newSelector() *selector {
	return &selector{pausedUntil: make(map[string]time.Time), backoff: minBackoff}
}

// selectRelay returns the host that is to relay a call, or nil for a direct call. The
// candidates are in order of preference, but a host that relayed the last call is kept.
func (s *selector) selectRelay(now time.Time, candidates []peers.Host) *peers.Host {
	if !s.directDown || now.Before(s.backoffUntil) {
		return nil
	}
	var first *peers.Host
	for i := range candidates {
		h := &candidates[i]
		if h.Leaving || h.Token == "" || now.Before(s.pausedUntil[h.Name]) {
			continue
		}
		if h.Name == s.relay {
			return h
		}
		if first == nil {
			first = h
		}
	}
	return first
}

// probeDue reports whether the direct path is to be probed now, and records the probe.
func (s *selector) probeDue(now time.Time) bool {
	if !s.directDown || now.Sub(s.lastProbe) < probeInterval {
		return false
	}
	s.lastProbe = now
	return true
}

// recordDirect records the outcome of a direct call, and reports whether the state
// of the direct path changed. A failure is ignored if another call succeeded after
// the failed one had begun.
func (s *selector) recordDirect(began, now time.Time, succeeded bool) bool {
	before := s.directDown
	switch {
	case succeeded:
		*s = *newSelector()
		s.lastSuccess = now
	case s.lastSuccess.Before(began):
		s.directDown = true
	}
	return s.directDown != before
}

// recordThrottled records that the store throttled a direct call, and reports
// whether the state of the direct path changed.
func (s *selector) recordThrottled(now time.Time) bool {
	if s.throttledCalls++; s.throttledCalls == 1 {
		s.throttledSince = now
	}
	if s.directDown || s.throttledCalls < minThrottledCalls || now.Sub(s.throttledSince) < minThrottledTime {
		return false
	}
	s.directDown = true
	return true
}

// recordRelayed records the outcome of a call that a host was asked to relay. It is
// ignored once direct calls succeed again.
func (s *selector) recordRelayed(now time.Time, host string, succeeded bool) {
	if !s.directDown {
		return
	}
	if succeeded {
		s.relay, s.failures, s.backoff = host, 0, minBackoff
		delete(s.pausedUntil, host)
		return
	}
	s.pausedUntil[host] = now.Add(relayPause)
	if s.relay == host {
		s.relay = ""
	}
	if s.failures++; s.failures >= maxRelayFailures {
		s.failures = 0
		s.backoffUntil = now.Add(s.backoff)
		s.backoff = min(2*s.backoff, maxBackoff)
		clear(s.pausedUntil)
	}
}
