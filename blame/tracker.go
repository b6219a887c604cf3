package blame

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// minCrashes is the smallest number of crashes that a verdict may rest on.
	minCrashes = 3
	// maxMoments is at how many different moments crashes suffice for a verdict, however
	// likely each was, if nearly all crashes about then are among them: a service may have few
	// endpoints. They are nearly all if there was at most one other for so many.
	maxMoments = 4
	nearlyAll  = 9
	// nearby is how far apart crashes may be for a request that breaks off under one to have been
	// retried under the other.
	nearby = 500 * time.Millisecond
	// narrowingCrashes is how many further crashes narrow a combination that was
	// convicted already, narrowingSurprise the evidence that they need.
	narrowingCrashes  = 2
	narrowingSurprise = 4
	// surprise is the evidence that a verdict needs, as the negative natural logarithm of
	// the probability that a request that crashes nothing was there each time.
	surprise = 11
	// WaveWindow is the time within which crashes of a service count as simultaneous. It
	// covers the delay of the reports from other regions and from busy hosts.
	WaveWindow = 150 * time.Millisecond
	// hearing is how long the hosts have, from the announcement of a suspect, to report
	// that endpoints answer such requests.
	hearing = 120 * time.Millisecond
	// settle is how long a crash is left out of account, until all hosts have reported
	// what they had in progress there.
	settle = 80 * time.Millisecond
	// crashRetention is how long a crash is remembered.
	crashRetention = 2 * time.Minute
	// maxCrashesKept and maxRunsPerCrash bound the memory.
	maxCrashesKept  = 512
	maxRunsPerCrash = 64
	// maxSuspects bounds the suspects that are announced.
	maxSuspects = 256
)

// Tracker attributes crashes of endpoints to keys of the requests that had hardly begun
// there. It is deterministic and not safe for concurrent use.
//
// The load it answers: a share of the requests crashes each endpoint that begins to answer
// them, beside sound requests that share all but one of their keys; or endpoints crash for
// other reasons, many at a time, under sound requests that are retried until the next ones
// crash.
//
// Invariants: a key is convicted only if each request with it that was answered or crashed
// since the first crash counted has crashed; a crash counts for one verdict only; keys that
// can't be told apart are convicted together, so that a request with some of them passes.
type Tracker struct {
	crashes map[string]*crash
	// answered is when a request with a suspected key was last known to be answered.
	answered map[Key]time.Time
	// suspectSince is when a key was first announced as suspect.
	suspectSince map[Key]time.Time
	// changed is set if there is news since the last Evaluate, which is due again at
	// dueAt unless that is zero.
	changed bool
	dueAt   time.Time
}

// crash is a crash of one endpoint.
type crash struct {
	at        time.Time
	service   string
	endpoints int
	// runs holds, by attempt, the keys of the requests that had hardly begun, keys those of
	// all of them.
	runs map[string][]Key
	keys []Key
	// explained is set if a request at the endpoint matches a conviction.
	explained bool
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{
		crashes: make(map[string]*crash), answered: make(map[Key]time.Time), suspectSince: make(map[Key]time.Time),
	}
}

// RecordCrash records a report. Several hosts may report the same crash, and the same
// report may come again.
func (t *Tracker) RecordCrash(now time.Time, r *Crash) {
	t.expire(now)
	c := t.crashes[r.Endpoint]
	if c == nil {
		if len(t.crashes) >= maxCrashesKept {
			t.dropOldest()
		}
		c = &crash{at: now.Add(-r.Age), service: r.Service, runs: make(map[string][]Key)}
		t.crashes[r.Endpoint] = c
	}
	c.endpoints = max(c.endpoints, r.Endpoints)
	if len(r.Keys) > 0 && len(c.runs) < maxRunsPerCrash {
		c.runs[r.Attempt] = r.Keys
		for _, k := range r.Keys {
			if !slices.Contains(c.keys, k) {
				c.keys = append(c.keys, k)
			}
		}
	}
	t.changed = true
}

// RecordAnswer records that endpoints answer requests with a key.
func (t *Tracker) RecordAnswer(now time.Time, a Answer) {
	if at := now.Add(-a.Age); at.After(t.answered[a.Key]) {
		t.answered[a.Key] = at
		t.changed = true
	}
}

// Simultaneous returns how many endpoints other than the given one crashed at about the
// same time.
func (t *Tracker) Simultaneous(endpoint string) int {
	crashed := t.crashes[endpoint]
	if crashed == nil {
		return 0
	}
	n := 0
	for id, c := range t.crashes {
		if id != endpoint && c.at.Sub(crashed.at).Abs() <= WaveWindow {
			n++
		}
	}
	return n
}

// Due reports whether Evaluate may have a result.
func (t *Tracker) Due(now time.Time) bool {
	return t.changed || !t.dueAt.IsZero() && !now.Before(t.dueAt)
}

// Evaluate returns the combinations to convict, given those that are convicted already.
func (t *Tracker) Evaluate(now time.Time, convicted []Combination) []Combination {
	t.changed, t.dueAt = false, time.Time{}
	t.expire(now)
	var out []Combination
	for {
		t.explain(convicted)
		evidence := t.evidence(now)
		t.announce(now, evidence, convicted)
		leader := t.leader(evidence, convicted)
		if leader == "" {
			return out
		}
		if heard := t.suspectSince[leader].Add(hearing); now.Before(heard) {
			t.setDue(heard)
			return out
		}
		verdict := t.combination(leader, evidence[leader], convicted)
		out, convicted = append(out, verdict), append(slices.Clip(convicted), verdict)
	}
}

// setDue makes Evaluate due again at the given time at the latest.
func (t *Tracker) setDue(at time.Time) {
	if t.dueAt.IsZero() || at.Before(t.dueAt) {
		t.dueAt = at
	}
}

// Suspects returns the keys that the hosts should report answers to, sorted.
func (t *Tracker) Suspects() []Key {
	out := make([]Key, 0, len(t.suspectSince))
	for k := range t.suspectSince {
		out = append(out, k)
	}
	slices.Sort(out)
	return out[:min(len(out), maxSuspects)]
}

// explain marks the crashes that convictions account for.
func (t *Tracker) explain(convicted []Combination) {
	for _, c := range t.crashes {
		for _, keys := range c.runs {
			if !c.explained && slices.ContainsFunc(convicted, func(v Combination) bool { return v.In(keys) }) {
				c.explained = true
			}
		}
	}
}

// evidence returns, for each key, the crashes that no conviction accounts for and that it
// may have caused: at each, a request with the key had hardly begun, and none was answered
// since.
func (t *Tracker) evidence(now time.Time) map[Key][]*crash {
	out := make(map[Key][]*crash)
	for _, c := range t.crashes {
		if c.explained {
			continue
		}
		if settled := c.at.Add(settle); now.Before(settled) {
			t.setDue(settled)
			continue
		}
		for _, k := range c.keys {
			if c.at.After(t.answered[k]) {
				out[k] = append(out[k], c)
			}
		}
	}
	return out
}

// announce updates the suspects. A key stays one until it is cleared.
func (t *Tracker) announce(now time.Time, evidence map[Key][]*crash, convicted []Combination) {
	for k, crashes := range evidence {
		if t.suspectSince[k].IsZero() && t.suspicious(k, crashes, convicted) {
			t.suspectSince[k] = now
		}
	}
	for k := range t.suspectSince {
		if len(evidence[k]) == 0 {
			delete(t.suspectSince, k)
		}
	}
}

// suspicious reports whether crashes make a key a suspect: they are at two moments, or of
// half of the endpoints, or follow a conviction that names the key.
func (t *Tracker) suspicious(k Key, crashes []*crash, convicted []Combination) bool {
	if named(convicted, k) {
		return true
	}
	return len(crashes) > 1 && (len(moments(crashes)) > 1 || 2*len(crashes) >= crashes[0].endpoints)
}

// named reports whether a conviction of several keys names a key.
func named(convicted []Combination, k Key) bool {
	return slices.ContainsFunc(convicted, func(v Combination) bool { return len(v) > 1 && slices.Contains(v, k) })
}

// leader returns the key with the most crashes of those with enough evidence, or "". The
// key that causes the crashes is at all of them, and is convicted first; the crashes then
// no longer count against the keys that stood beside it. While keys that can be told apart
// have the same number, there is no leader: further crashes decide.
func (t *Tracker) leader(evidence map[Key][]*crash, convicted []Combination) Key {
	var leaders []Key
	for k, crashes := range evidence {
		if !t.enough(k, crashes, convicted) {
			continue
		}
		switch {
		case len(leaders) == 0 || len(crashes) > len(evidence[leaders[0]]):
			leaders = []Key{k}
		case len(crashes) == len(evidence[leaders[0]]):
			leaders = append(leaders, k)
		}
	}
	if len(leaders) == 0 {
		return ""
	}
	first := slices.Min(leaders)
	if common := t.combination(first, evidence[first], convicted); !slices.Equal(common.intersect(leaders), NewCombination(leaders...)) {
		return ""
	}
	return first
}

// enough reports whether crashes are enough evidence for a verdict on a key.
func (t *Tracker) enough(k Key, crashes []*crash, convicted []Combination) bool {
	if named(convicted, k) {
		return len(crashes) >= narrowingCrashes && t.unlikely(crashes, narrowingSurprise, narrowingCrashes)
	}
	return len(crashes) >= minCrashes && t.unlikely(crashes, surprise, maxMoments)
}

// unlikely reports whether chance does not explain that a request that crashes nothing was
// at the crashes: they were unlikely enough, or at so many moments and nearly all there were,
// or at one moment more for each of the others.
func (t *Tracker) unlikely(crashes []*crash, needed float64, enoughMoments int) bool {
	if t.surprise(crashes) >= needed {
		return true
	}
	seen := len(moments(crashes))
	if seen < enoughMoments {
		return false
	}
	others := t.others(crashes)
	return seen >= enoughMoments+others || others <= len(crashes)/nearlyAll
}

// others returns how many crashes of the same services there were besides, about when such a request
// was at an endpoint, that no conviction accounts for. Crashes at other times, and of services that
// such requests do not reach, tell nothing of them.
func (t *Tracker) others(crashes []*crash) int {
	about := 0
	for _, c := range t.crashes {
		if !c.explained && slices.ContainsFunc(crashes, func(o *crash) bool {
			return o.service == c.service && o.at.Sub(c.at).Abs() <= nearby
		}) {
			about++
		}
	}
	return about - len(crashes)
}

// surprise returns how unlikely it is that a request that crashes nothing was there at each
// moment of the crashes: the more endpoints crash at the same time, the more sound requests
// are hit.
func (t *Tracker) surprise(crashes []*crash) float64 {
	sum := 0.0
	for _, c := range moments(crashes) {
		simultaneous := 0
		for _, o := range t.crashes {
			if o.service == c.service && o.at.Sub(c.at).Abs() <= WaveWindow {
				simultaneous++
			}
		}
		sum -= math.Log(min(1, float64(simultaneous)/float64(max(1, c.endpoints))))
	}
	return sum
}

// moments returns the first of each series of simultaneous crashes.
func moments(crashes []*crash) []*crash {
	sorted := slices.Clone(crashes)
	slices.SortFunc(sorted, func(a, b *crash) int { return a.at.Compare(b.at) })
	var out []*crash
	for _, c := range sorted {
		if len(out) == 0 || c.at.Sub(out[len(out)-1].at) > WaveWindow {
			out = append(out, c)
		}
	}
	return out
}

// combination returns the keys that can't be told from k: the requests with k that had
// hardly begun at the crashes have them in common, and so have the convictions that name
// k. Keys that were answered since are left out.
func (t *Tracker) combination(k Key, crashes []*crash, convicted []Combination) Combination {
	var common Combination
	narrow := func(keys []Key) {
		if common == nil {
			common = NewCombination(keys...)
			return
		}
		common = common.intersect(keys)
	}
	for _, v := range convicted {
		if len(v) > 1 && slices.Contains(v, k) {
			narrow(v)
		}
	}
	for _, c := range crashes {
		for _, keys := range c.runs {
			if slices.Contains(keys, k) {
				narrow(keys)
			}
		}
	}
	return slices.DeleteFunc(common, func(o Key) bool {
		return o != k && slices.ContainsFunc(crashes, func(c *crash) bool { return !c.at.After(t.answered[o]) })
	})
}

// expire forgets old crashes and answers.
func (t *Tracker) expire(now time.Time) {
	for id, c := range t.crashes {
		if now.Sub(c.at) > crashRetention {
			delete(t.crashes, id)
			t.changed = true
		}
	}
	for k, at := range t.answered {
		if now.Sub(at) > crashRetention {
			delete(t.answered, k)
		}
	}
}

// dropOldest forgets the oldest crash.
func (t *Tracker) dropOldest() {
	ids := make([]string, 0, len(t.crashes))
	for id := range t.crashes {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return t.crashes[ids[i]].at.Before(t.crashes[ids[j]].at) })
	delete(t.crashes, ids[0])
}
