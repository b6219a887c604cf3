package reach

import (
	"slices"
	"time"
)

// Tracker judges a host's links. The zero value is that of a host that has not tried to
// connect. It is not safe for concurrent use.
//
// Invariants: a host is stranded only after attempts to connect to different endpoints of
// different services failed in a row, none of which began before the last success ended; it returns only after
// connections to endpoints were made, and not before hold has passed.
type Tracker struct {
	state State
	// known are the endpoints that accept work; services maps them to their services.
	known    []Endpoint
	services map[string]string
	// since is when the state began.
	since time.Time
	// lastSuccess is when a connection was last made, reachedAt when the attempt began.
	lastSuccess, reachedAt time.Time
	// failed maps the endpoints to which no connection was made since then to the time of the
	// last failure.
	failed map[string]time.Time
	// suspected is set while something other than a failed connection, such as an endpoint that
	// sends nothing, is to be looked into.
	suspected bool
	// verify is set while it has to be known soon whether any endpoint can be reached.
	verify bool
	// roundFailed is set once a round of probes has ended since the last success.
	roundFailed bool
	// probedAt is when the last round of probes began. probing holds the endpoints whose
	// probes have not ended; next is where the next round begins among all endpoints.
	probedAt time.Time
	probing  map[string]bool
	next     int
	// successes counts connections in a row while the host returns.
	successes int
	// shareSince is when a returning host began to send calls over its own links; calls counts
	// the calls since then, direct those over its own links.
	shareSince    time.Time
	calls, direct int
	// hold is how long the host stays stranded at least; leftAt is when it was last connected
	// again.
	hold   time.Duration
	leftAt time.Time
}

// NewTracker returns a Tracker.
func NewTracker() *Tracker {
	return &Tracker{failed: make(map[string]time.Time), probing: make(map[string]bool)}
}

// SetEndpoints replaces the endpoints that accept work.
func (t *Tracker) SetEndpoints(known []Endpoint) {
	t.known = known
	t.services = make(map[string]string, len(known))
	for i := range known {
		t.services[known[i].ID] = known[i].Service
	}
	for id := range t.failed {
		if _, found := t.services[id]; !found {
			delete(t.failed, id)
		}
	}
	for id := range t.probing {
		if _, found := t.services[id]; !found {
			delete(t.probing, id)
		}
	}
}

// State returns the state.
func (t *Tracker) State() State {
	return t.state
}

// Since returns when the state began; zero if it is the first.
func (t *Tracker) Since() time.Time {
	return t.since
}

// ReachedAt returns when the latest attempt began that made a connection; zero if none did.
func (t *Tracker) ReachedAt() time.Time {
	return t.reachedAt
}

// Dialed records the outcome of an attempt to connect to an endpoint, and reports whether the
// state changed.
func (t *Tracker) Dialed(began, now time.Time, endpoint string, succeeded bool) bool {
	before := t.state
	probe := t.probing[endpoint]
	delete(t.probing, endpoint)
	switch {
	case succeeded:
		if began.After(t.reachedAt) {
			t.reachedAt = began
		}
		if !t.outdated(began) {
			t.succeed(now)
		}
	case began.After(t.lastSuccess):
		if probe && len(t.probing) == 0 {
			t.roundFailed = true
		}
		t.fail(now, endpoint)
	}
	return t.state != before
}

// EndProbe records that a probe has ended, whatever its outcome.
func (t *Tracker) EndProbe(endpoint string) {
	delete(t.probing, endpoint)
}

// outdated reports whether a connection that was begun at a time says nothing of the links now: it
// was begun before the first of the failures since, or before the state.
func (t *Tracker) outdated(began time.Time) bool {
	if t.state != Connected && began.Before(t.since) {
		return true
	}
	for _, at := range t.failed {
		if !began.Before(at) {
			return false
		}
	}
	return len(t.failed) > 0
}

func (t *Tracker) succeed(now time.Time) {
	t.lastSuccess = now
	t.suspected, t.verify, t.roundFailed = false, false, false
	clear(t.failed)
	switch t.state {
	case Connected:
	case Stranded:
		if now.Sub(t.since) >= t.hold {
			t.enter(now, Returning)
			t.successes = 1
		}
	case Returning:
		if t.successes++; t.successes == returnSuccesses {
			t.shareSince, t.calls, t.direct = now, 0, 0
		}
	}
}

func (t *Tracker) fail(now time.Time, endpoint string) {
	if _, found := t.services[endpoint]; !found {
		return
	}
	t.expire(now)
	t.failed[endpoint] = now
	switch t.state {
	case Connected:
		if t.reachesNone() {
			t.strand(now)
		}
	case Stranded:
	case Returning:
		if len(t.failed) >= min(returnFailures, len(t.known)) {
			t.strand(now)
		}
	}
}

// expire drops failures that are too old to count.
func (t *Tracker) expire(now time.Time) {
	for id, at := range t.failed {
		if now.Sub(at) > evidenceAge {
			delete(t.failed, id)
		}
	}
}

// reachesNone reports whether the failures show that the host reaches no endpoint.
func (t *Tracker) reachesNone() bool {
	if len(t.known) < minKnown || len(t.failed) < min(strandedFailures, len(t.known)) {
		return false
	}
	// Calls may fail in a burst, before any success among them is known.
	if !t.roundFailed && len(t.failed) < len(t.known) {
		return false
	}
	all, failed := make(map[string]bool), make(map[string]bool)
	for id, service := range t.services {
		all[service] = true
		if _, found := t.failed[id]; found {
			failed[service] = true
		}
	}
	return len(failed) >= min(strandedServices, len(all))
}

// strand makes the host stranded. One that was so a moment ago stays so for longer, so that a
// link that fails again and again is not used in between.
func (t *Tracker) strand(now time.Time) {
	if t.state == Returning || (!t.leftAt.IsZero() && now.Sub(t.leftAt) < flapAge) {
		t.hold = min(max(2*t.hold, minHold), maxHold)
	} else {
		t.hold = 0
	}
	t.enter(now, Stranded)
}

func (t *Tracker) enter(now time.Time, s State) {
	t.state, t.since = s, now
	t.successes, t.shareSince = 0, time.Time{}
	t.suspected, t.verify = false, false
	if s == Connected {
		t.leftAt = now
	}
}

// Suspect records that an endpoint sends nothing, or broke a connection: the cause may be the
// host's own links.
func (t *Tracker) Suspect() {
	t.suspected = t.state == Connected
}

// Verify has endpoints probed at once, so that it is known whether any can be reached.
func (t *Tracker) Verify() {
	t.verify = t.state == Connected
}

// Probes returns the endpoints to connect to now, for no other purpose than to know whether
// they can be reached. The caller reports each outcome by Dialed.
func (t *Tracker) Probes(now time.Time) []string {
	if t.state == Connected {
		t.expire(now)
	}
	if t.state == Returning && t.share(now) >= 1 {
		t.enter(now, Connected)
	}
	if len(t.known) == 0 || !t.probeDue(now) {
		return nil
	}
	t.probedAt = now
	size := probesPerRound
	if t.state == Connected && len(t.failed) >= probesPerRound {
		size = confirmingProbes
	}
	var out []string
	for pass := range 2 {
		// The first pass leaves out services that are probed already.
		services := make(map[string]bool)
		for i := range t.known {
			e := &t.known[(t.next+i)%len(t.known)]
			_, failed := t.failed[e.ID]
			if len(out) == size || t.probing[e.ID] || (failed && t.state == Connected) || (pass == 0 && services[e.Service]) {
				continue
			}
			services[e.Service] = true
			t.probing[e.ID] = true
			out = append(out, e.ID)
		}
	}
	t.next = (t.next + size) % len(t.known)
	return out
}

// probeDue reports whether a round of probes begins now.
func (t *Tracker) probeDue(now time.Time) bool {
	if len(t.probing) > 0 {
		return false
	}
	since := now.Sub(t.probedAt)
	switch t.state {
	case Stranded:
		return since >= strandedInterval
	case Returning:
		if !t.shareSince.IsZero() {
			return since >= strandedInterval
		}
		return since >= returningInterval
	default:
		if t.verify && since >= verifyInterval {
			return true
		}
		return (t.suspected || len(t.failed) > 0) && (since >= suspicionInterval || t.lastSuccess.Before(t.probedAt))
	}
}

// Busy reports whether Probes has to be called again without anything else happening.
func (t *Tracker) Busy() bool {
	return t.state != Connected || t.suspected || t.verify || len(t.failed) > 0
}

// Direct decides whether the next call goes over the host's own links, and counts it.
func (t *Tracker) Direct(now time.Time) bool {
	switch t.state {
	case Connected:
		return true
	case Stranded:
		return false
	default:
		return t.takeShare(now)
	}
}

// share returns the share of calls that a returning host sends over its own links.
func (t *Tracker) share(now time.Time) float64 {
	if t.shareSince.IsZero() {
		return 0
	}
	share := firstShare
	for step := now.Sub(t.shareSince); step >= shareStep && share < 1; step -= shareStep {
		share *= 2
	}
	return share
}

// takeShare decides for a call of a returning host. Once its share is whole, the host is
// connected.
func (t *Tracker) takeShare(now time.Time) bool {
	share := t.share(now)
	if share >= 1 {
		t.enter(now, Connected)
		return true
	}
	t.calls++
	if float64(t.direct+1) > share*float64(t.calls) {
		return false
	}
	t.direct++
	return true
}

// FailedLately reports whether no connection to an endpoint was made lately.
func (t *Tracker) FailedLately(now time.Time, endpoint string) bool {
	last, failed := t.failed[endpoint]
	return failed && now.Sub(last) <= evidenceAge
}

// FailedEndpoints returns the endpoints to which no connection was made since the last
// success, in order.
func (t *Tracker) FailedEndpoints() []string {
	out := make([]string, 0, len(t.failed))
	for id := range t.failed {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
