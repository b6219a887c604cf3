package scheduler

import (
	"math"
	"time"
)

// healthLevel is what the outcomes of its last uses say of an endpoint.
type healthLevel uint8

const (
	// healthSound endpoints get all work.
	healthSound healthLevel = iota
	// healthSuspected endpoints have failed lately. They get repeatable requests only, few
	// at a time.
	healthSuspected
	// healthReturning endpoints were lost under work, and get repeatable requests again, at
	// first one at a time.
	healthReturning
	// healthExcluded endpoints fail their requests. They get probes.
	healthExcluded
)

// String returns the name of the level in logs and metrics.
func (l healthLevel) String() string {
	return [...]string{"sound", "suspected", "returning", "excluded"}[l]
}

const (
	// minBaseRate and maxBaseRate bound the rate of failures that a sound endpoint is
	// expected to have. With the lower one, an endpoint is excluded after three failures in
	// a row of different work: two may be chance where ten requests at once fail wherever
	// they run.
	minBaseRate = 0.03
	maxBaseRate = 0.5
	// suspectEvidence and excludeEvidence are the evidence of failure, a logarithm of odds,
	// from which an endpoint is suspected and excluded: a failing endpoint is one of a
	// hundred beforehand, so that the probabilities are 0.08 and 0.88.
	priorOdds       = 4.6
	suspectEvidence = 2.1
	excludeEvidence = 6.6
	// maxExtraEvidence bounds the evidence that an exclusion takes beyond that where sound
	// endpoints fail more often than minBaseRate: the more failures, the more series of them
	// there are by chance.
	maxExtraEvidence = 2.0
	// evidenceMargin is by how much the evidence may exceed what an exclusion takes, so that two
	// successes after a series of failures alone are enough to use an endpoint again.
	evidenceMargin = 0.9
	// relapseEvidence is the least evidence within relapsePeriod of an exclusion: the next
	// one takes two failures.
	relapseEvidence = 1.5
	relapsePeriod   = 15 * time.Second
	// failureSpell is how long endpoints fail on average before they recover.
	failureSpell = 5 * time.Second
	// trialEvidence is by how much the evidence is taken to fall with each use in progress.
	trialEvidence = 0.7
	// trialSpacing is how long one request is at an excluded endpoint before the next one is
	// sent there: what fails at once has failed by then.
	trialSpacing = 150 * time.Millisecond
	// trialPatience is how long the only request at a suspected endpoint may take before another
	// one is sent there.
	trialPatience = time.Second
	// maxTrials is how many requests are at an endpoint under test before one succeeds.
	maxTrials = 4
	// failureWindow is the time constant of the rates of failures.
	failureWindow = 10 * time.Second
	// rateWeight is how many uses at the rate of the service are assumed of each endpoint,
	// so that a single failure says little.
	rateWeight = 10
	// singleHarm and repeatableHarm are what a failure costs a caller: the request, counted
	// as most of its deadline, or a further attempt.
	singleHarm     = 4 * time.Second
	repeatableHarm = 200 * time.Millisecond
	// crashWindow is how long crashes count. breakSpan is how long after the first lost use
	// others count to the same crash.
	crashWindow = 15 * time.Second
	breakSpan   = 300 * time.Millisecond
	// burstSpan is the time within which uses break that have the same cause. Resets of single
	// responses, a tenth of all, break two of four uses within it in one of a hundred cases.
	burstSpan = 20 * time.Millisecond
	// goneSpan is how long after a broken use a new process of the endpoint shows that the
	// former one crashed under it.
	goneSpan = 5 * time.Second
	// overflowHarm is what it costs a caller to be refused: the second until it comes again, and
	// the chance of being refused for good. An endpoint under test takes work that would
	// wait otherwise while its rate of failures times singleHarm is less, which is while it fails
	// less than a half.
	overflowHarm = 2 * time.Second
	// overflowSpacing and singleSpacing are the times between two requests that an endpoint gets so
	// before one has succeeded since its last failure. One that fails at once has reported
	// that within the latter; with it for all requests, slots were idle long enough at peaks for 0.7 % of the
	// requests to be late.
	overflowSpacing = 15 * time.Millisecond
	singleSpacing   = 50 * time.Millisecond
	// maxCrashes is how many crashes are remembered; from then on the return of the endpoint
	// takes no longer.
	maxCrashes = 4
)

// trialDelays are the pauses after one, two and more failures in a row. The last one leaves
// time for two requests within two seconds of the recovery.
var trialDelays = [...]time.Duration{
	0, 150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond,
}

// crashCaution is for how long after the last of one, two, three and more crashes an endpoint
// gets only repeatable requests.
var crashCaution = [maxCrashes]time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 6 * time.Second}

// endpointHealth is what the outcomes of its uses say of an endpoint. The zero value is that of
// a sound endpoint.
type endpointHealth struct {
	// Decisions read the fields up to ratedAt of each endpoint.
	level healthLevel
	// singleRisk and repeatableRisk are those of the last outcome, ratedAt its time.
	singleRisk, repeatableRisk time.Duration
	ratedAt                    time.Time
	// since is when the level was reached.
	since time.Time
	// evidence is the logarithm of how much more likely the outcomes are if the endpoint
	// fails than if it is sound; not negative.
	evidence float64
	// failed and ran count the uses up to the last failure, since the evidence was last at
	// its least; succeeded counts the successes since then.
	failed, ran, succeeded int
	// row counts the failures in a row of different work, the last of which was lastWork.
	row      int
	lastWork uint64
	// failedGrant is when the last use that failed was granted, failedAt when it ended.
	failedGrant, failedAt time.Time
	// excludedAt is when the endpoint was last excluded.
	excludedAt time.Time
	// failedHost is the host that saw the last failure, mixedAt when another one saw one after
	// it: the cause is then not the way of one host to the endpoint.
	failedHost string
	mixedAt    time.Time
	// trials are the uses in progress that began under test, lastTrial when the last one
	// did. None begins before notBefore.
	trials               int
	lastTrial, notBefore time.Time
	// failures and uses are those of failureWindow.
	failures, uses decayingCount
	// crashes are the times of the last crashes, oldest first; afterCrash counts the
	// successes since the last one.
	crashes    [maxCrashes]time.Time
	afterCrash int
	// broken counts the uses that broke since brokenFrom, within breakSpan, with no response of
	// another one since; brokenAt is when a use last broke. counted means that the last series of
	// them, less than breakSpan apart, is one of failures.
	broken               int
	counted              bool
	brokenFrom, brokenAt time.Time
	// respondedAt is when a use last got a response.
	respondedAt time.Time
	// startedAt is when the endpoint was seen to have started again: outcomes of earlier uses
	// say nothing of it.
	startedAt time.Time
}

// admits reports whether the endpoint may get a request, by the outcomes of its last ones.
// A repeatable request may be run again after a failure.
func (s *endpointState) admits(now time.Time, repeatable bool) bool {
	return s.health.level == healthSound || s.health.admitsTrial(now, repeatable)
}

// risk returns how much longer a request waits in expectation because the endpoint may fail it.
func (s *endpointState) risk(now time.Time, repeatable bool) time.Duration {
	if s.health.singleRisk == 0 {
		return 0
	}
	return s.health.risk(now, repeatable)
}

// risk returns the risk of the last outcome, less what it has lost by age.
func (h *endpointHealth) risk(now time.Time, repeatable bool) time.Duration {
	risk := h.singleRisk
	if repeatable {
		risk = h.repeatableRisk
	}
	// An endpoint that gets no work for its risk would keep it for ever.
	left := 1 - float64(now.Sub(h.ratedAt))/float64(failureWindow)
	return time.Duration(float64(risk) * min(1, max(0, left)))
}

// admitsTrial reports whether an endpoint under test may get a request.
func (h *endpointHealth) admitsTrial(now time.Time, repeatable bool) bool {
	return repeatable && h.trialDue(now)
}

// trialDue reports whether an endpoint under test may get one more request.
func (h *endpointHealth) trialDue(now time.Time) bool {
	switch {
	case now.Before(h.notBefore):
		return false
	case h.trials == 0:
		return true
	case h.row == 0 && h.succeeded+h.afterCrash > 0:
		return h.trials < 2<<min(max(h.succeeded, h.afterCrash), 5)
	case h.level == healthExcluded:
		return h.trials < maxTrials && now.Sub(h.lastTrial) >= trialSpacing
	default:
		// Failures are known sooner than successes: with several in progress, an endpoint that
		// fails no more than others would be excluded by chance.
		return h.trials < maxTrials && now.Sub(h.lastTrial) >= trialPatience
	}
}

// beginTrial records a use that begins under test.
func (h *endpointHealth) beginTrial(now time.Time) {
	h.trials++
	h.lastTrial = now
}

// failureRate returns the estimated rate of failures, if the endpoint is one that fails.
func (h *endpointHealth) failureRate() float64 {
	return min(0.99, max(0.1, (float64(h.failed)+0.1)/(float64(h.ran)+0.2)))
}

// fails reports whether the outcomes speak for an exclusion, given the rate of failures of a sound
// endpoint.
func (h *endpointHealth) fails(base float64) bool {
	if h.level == healthExcluded {
		return h.evidence >= excludeEvidence
	}
	// Failures are known sooner than successes, so that the uses in progress are taken for these.
	rate := float64(h.failed) / float64(h.ran+h.succeeded+h.trials)
	return h.evidence-trialEvidence*float64(h.trials) >= exclusionEvidence(base) && rate > 2*base
}

// exclusionEvidence returns the evidence that an exclusion takes, given the rate of failures of a
// sound endpoint.
func exclusionEvidence(base float64) float64 {
	return excludeEvidence + min(maxExtraEvidence, math.Log(base/minBaseRate))
}

// leastEvidence returns the lower bound of the evidence.
func (h *endpointHealth) leastEvidence(now time.Time) float64 {
	if !h.excludedAt.IsZero() && now.Sub(h.excludedAt) < relapsePeriod {
		return relapseEvidence
	}
	return 0
}

// fail counts a failed use that was granted at a time, and returns by how much the evidence rose.
// Failures in a row of the same work count once.
func (h *endpointHealth) fail(now, granted time.Time, work uint64, base float64) float64 {
	if granted.After(h.failedGrant) {
		h.failedGrant = granted
	}
	if h.row > 0 && !granted.After(h.failedAt) {
		// Granted before the last failure was known: both may be of one burst of bad requests.
		return 0
	}
	h.failedAt = now
	if h.row == 0 || work == 0 || work != h.lastWork {
		h.row++
		h.lastWork = work
	} else {
		h.notBefore = now.Add(trialDelays[min(h.row, len(trialDelays)-1)])
		return 0
	}
	h.notBefore = now.Add(trialDelays[min(h.row, len(trialDelays))-1])
	before := max(h.evidence, h.leastEvidence(now))
	h.evidence = min(exclusionEvidence(base)+evidenceMargin, before+max(0, math.Log(h.failureRate()/base)))
	h.failed++
	h.ran += 1 + h.succeeded
	h.succeeded = 0
	return h.evidence - before
}

// succeed counts a use that succeeded. One that was granted no later than the last that failed
// may have begun before the endpoint began to fail.
func (h *endpointHealth) succeed(now, granted time.Time, base float64) {
	h.uses.add(now, 1)
	if !granted.After(h.failedGrant) {
		return
	}
	h.afterCrash++
	h.row, h.lastWork, h.notBefore = 0, 0, time.Time{}
	if h.evidence == 0 && h.failed == 0 {
		return
	}
	h.succeeded++
	least := h.leastEvidence(now)
	// The endpoint may have recovered since its last failure, the more likely the longer ago.
	recovered := 1 - math.Exp(-max(0.001, now.Sub(h.failedAt).Seconds())/failureSpell.Seconds())
	h.evidence = min(h.evidence, priorOdds+math.Log((1-recovered)/recovered))
	h.evidence = max(least, h.evidence+min(0, math.Log((1-h.failureRate())/(1-base))))
	if h.evidence <= least || (least > 0 && h.evidence < suspectEvidence) {
		if least > 0 {
			// It was excluded, and has recovered: its failures up to then would keep work away.
			h.failures, h.uses = decayingCount{}, decayingCount{}
		}
		h.forget(least)
	}
}

// withdraw takes back a failure that says nothing of the endpoint.
func (h *endpointHealth) withdraw(now time.Time, evidence float64) {
	h.evidence = max(h.leastEvidence(now), h.evidence-evidence)
	h.failed, h.ran, h.row = max(0, h.failed-1), max(0, h.ran-1), max(0, h.row-1)
	h.failures.add(now, -1)
	if h.row == 0 {
		h.notBefore = time.Time{}
	}
}

// forget ends the present series of outcomes.
func (h *endpointHealth) forget(least float64) {
	h.evidence, h.failed, h.ran, h.succeeded = least, 0, 0, 0
	h.row, h.lastWork = 0, 0
}

// seenBy records that a host saw a failure.
func (h *endpointHealth) seenBy(now time.Time, host string) {
	if h.failedHost != "" && h.failedHost != host && now.Sub(h.failedAt) < pathMemory {
		h.mixedAt = now
	}
	h.failedHost = host
}

// mixed reports whether several hosts have seen failures.
func (h *endpointHealth) mixed(now time.Time) bool {
	return !h.mixedAt.IsZero() && now.Sub(h.mixedAt) < pathMemory
}

// recentCrashes returns how many crashes count.
func (h *endpointHealth) recentCrashes(now time.Time) int {
	n := 0
	for _, at := range h.crashes {
		if !at.IsZero() && now.Sub(at) < crashWindow {
			n++
		}
	}
	return n
}

// lastCrash returns the time of the last crash; zero if there was none.
func (h *endpointHealth) lastCrash() time.Time {
	return h.crashes[maxCrashes-1]
}

// sameCrash reports whether a use that is lost was lost in the last crash.
func (h *endpointHealth) sameCrash(now, granted time.Time) bool {
	last := h.lastCrash()
	return !last.IsZero() && (now.Sub(last) < breakSpan || !granted.After(last))
}

// lose counts a use under which the endpoint was lost, and reports whether that was another crash
// than the last one.
func (h *endpointHealth) lose(now, granted time.Time) bool {
	if h.sameCrash(now, granted) {
		return false
	}
	copy(h.crashes[:], h.crashes[1:])
	h.crashes[maxCrashes-1] = now
	h.afterCrash = 0
	return true
}

// gone reports whether a use that broke shows that the process is gone: a connection was refused, or
// all uses in progress broke within breakSpan and none was answered since. Two or more, and at least a half,
// within burstSpan are enough: the hosts of the others may report later.
func (s *endpointState) gone(now time.Time, o Outcome) bool {
	if o == Unreachable {
		return true
	}
	h := &s.health
	if h.broken == 0 || now.Sub(h.brokenFrom) >= breakSpan {
		h.broken, h.brokenFrom = 0, now
	}
	h.broken++
	h.brokenAt = now
	if h.broken == 1 && now.Sub(h.respondedAt) < breakSpan {
		return false
	}
	left := 0
	for _, t := range s.tickets {
		if !t.revoked && !t.since.After(h.brokenFrom) {
			left++
		}
	}
	return left == 0 || (h.broken >= 2 && h.broken >= left && now.Sub(h.brokenFrom) < burstSpan)
}

// responded records that the endpoint has answered a use.
func (h *endpointHealth) responded(now time.Time) {
	h.broken, h.respondedAt = 0, now
}

// replaced counts a crash if a use broke shortly before the endpoint's process was replaced.
func (h *endpointHealth) replaced(now time.Time) {
	if !h.brokenAt.IsZero() && now.Sub(h.brokenAt) < goneSpan {
		h.lose(h.brokenAt, h.brokenAt)
	}
	h.brokenAt = time.Time{}
}

// admitsOverflow reports whether an endpoint under test takes work for which no sound one has room,
// if that would cost it the given time otherwise. hold is how long a use lasts.
func (h *endpointHealth) admitsOverflow(now time.Time, repeatable bool, otherwise, hold time.Duration) bool {
	if h.level == healthExcluded || now.Before(h.notBefore) {
		return false
	}
	if h.row > 0 || (h.afterCrash == 0 && h.recentCrashes(now) > 0) {
		spacing := overflowSpacing
		if !repeatable {
			spacing = singleSpacing
		}
		if now.Sub(h.lastTrial) < spacing || (!repeatable && h.recentCrashes(now) > 0) {
			return false
		}
	}
	crashes := time.Duration(float64(h.recentCrashes(now)) * hold.Seconds() / crashWindow.Seconds() * float64(singleHarm))
	harm := h.risk(now, false) + crashes
	return harm < overflowHarm && (repeatable || harm <= otherwise)
}

// withdrawCrash takes back the last crash.
func (h *endpointHealth) withdrawCrash() {
	copy(h.crashes[1:], h.crashes[:maxCrashes-1])
	h.crashes[0] = time.Time{}
}

// cautious reports whether the endpoint still returns from its last crash.
func (h *endpointHealth) cautious(now time.Time) bool {
	n := h.recentCrashes(now)
	return n > 0 && (h.afterCrash < n || now.Sub(h.lastCrash()) < crashCaution[n-1])
}

// target returns the level that the outcomes speak for, given the rate of failures of a sound
// endpoint.
func (h *endpointHealth) target(now time.Time, base float64) healthLevel {
	switch {
	case h.fails(base):
		return healthExcluded
	case h.evidence >= suspectEvidence:
		return healthSuspected
	case h.cautious(now):
		return healthReturning
	default:
		return healthSound
	}
}

// rateRisk updates the risk of the endpoint, given the rate of failures of its service.
func (h *endpointHealth) rateRisk(now time.Time, rate float64) {
	estimate := (h.failures.at(now, failureWindow) + rateWeight*rate) / (h.uses.at(now, failureWindow) + rateWeight)
	excess := max(0, estimate-rate)
	if h.failed > 0 {
		excess = max(excess, h.failureRate()/(1+math.Exp(priorOdds-h.evidence)))
	}
	h.singleRisk = time.Duration(excess * float64(singleHarm))
	h.repeatableRisk = time.Duration(excess * float64(repeatableHarm))
	h.ratedAt = now
}

// restart forgets what is known of the former process of an endpoint that has started again, but
// for its crashes. One that failed, or crashed, is tested first.
func (h *endpointHealth) restart(now time.Time) {
	h.replaced(now)
	*h = endpointHealth{level: h.level, since: h.since, crashes: h.crashes, trials: h.trials, lastTrial: h.lastTrial, startedAt: now}
}

// decayingCount counts events of a time window, the older ones less.
type decayingCount struct {
	value float64
	last  time.Time
}

// add adds to a count of failureWindow.
func (d *decayingCount) add(now time.Time, n float64) {
	d.value = max(0, d.at(now, failureWindow)+n)
	d.last = now
}

// at returns the count.
func (d *decayingCount) at(now time.Time, window time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.last).Seconds()/window.Seconds())
}
