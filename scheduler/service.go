package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/recent"
)

// service holds the endpoints of a service, and the queues of its requests and items.
type service struct {
	name      string
	endpoints []*endpointState
	queue     []*waiter
	turns     turns
	items     itemQueue
	// plannedAt is the time of the last plan of the items, batchSlots the moving
	// average of the number of slots left for them.
	plannedAt  time.Time
	batchSlots float64
	// meanHold is the mean time that an online request uses a slot, perToken the mean
	// time to generate one token of a batch item.
	meanHold, perToken time.Duration
	// meanFirst is the mean time from a grant to the first event, firstDeviation the
	// mean absolute deviation from it.
	meanFirst, firstDeviation time.Duration
	// arrivals is the arrival rate of online requests.
	arrivals rate
	// refused holds the fingerprints of recently refused requests.
	refused *recent.Set
	// overloadedAt is when an online request was last refused for want of slots or requests.
	overloadedAt time.Time
	// nextRetry is the retry time given to the client that was refused last.
	nextRetry time.Time
	// choice is nil without Options.WeighWaits.
	choice *choice
	// underTest counts the endpoints that are not sound, excluded those that are excluded.
	underTest, excluded int
	// uses and failures are those that began at sound endpoints, allUses and allFailures those at all.
	uses, failures, allUses, allFailures decayingCount
	// works are those that failed of late.
	works failedWorks
	// repeatableAt is when a repeatable request last came, itemAt when an item last started.
	repeatableAt, itemAt time.Time
	// comparedAt is when the speeds of the endpoints were last compared, speeds the space for
	// that.
	comparedAt time.Time
	speeds     []float64
}

// usableSlots returns the number of slots of all usable endpoints.
func (v *service) usableSlots(now time.Time) int {
	n := 0
	for _, s := range v.endpoints {
		if s.usable(now) {
			n += s.Slots
		}
	}
	return n
}

// lists reports whether an endpoint of a software version accepts new work.
func (v *service) lists(version *string) bool {
	return slices.ContainsFunc(v.endpoints, func(s *endpointState) bool { return s.listed && s.hasVersion(version) })
}

// usable reports whether an endpoint of a software version, or of any, is usable.
func (v *service) usable(now time.Time, version *string) bool {
	return slices.ContainsFunc(v.endpoints, func(s *endpointState) bool { return s.usable(now) && s.hasVersion(version) })
}

// slotLimit returns how many slots may be used: all, or the share of this scheduler
// while other hosts schedule independently.
func (v *service) slotLimit(now time.Time, share float64) int {
	return int(math.Ceil(float64(v.usableSlots(now)) * share))
}

// heldSlots returns the slots in use and not revoked at usable endpoints. It excludes
// paused endpoints, as slotLimit does: otherwise, when engines stall briefly at a peak,
// the work in progress there would block free slots of the other endpoints.
func (v *service) heldSlots(now time.Time) int {
	n := 0
	for _, s := range v.endpoints {
		if s.usable(now) {
			n += s.heldSlots()
		}
	}
	return n
}

// occupiedSlots returns the slots in use at usable endpoints, revoked ones included.
func (v *service) occupiedSlots(now time.Time) int {
	n := 0
	for _, s := range v.endpoints {
		if s.usable(now) {
			n += len(s.tickets)
		}
	}
	return n
}

// hasRateLimits reports whether an endpoint has a rate limit.
func (v *service) hasRateLimits() bool {
	return slices.ContainsFunc(v.endpoints, func(s *endpointState) bool { return s.pacer != nil })
}

// admissible returns how many requests could start now at usable endpoints, in free slots
// and within the rate limits.
func (v *service) admissible(now time.Time) int {
	n := 0
	for _, s := range v.endpoints {
		if s.usable(now) {
			n += s.admissible(now)
		}
	}
	return n
}

// slotInterval returns the mean time between two releases of a slot at which a request can
// start. An endpoint with a rate limit may release slots more often than it takes requests.
func (v *service) slotInterval(now time.Time, share float64) time.Duration {
	interval := v.meanHold / time.Duration(max(1, v.slotLimit(now, share)))
	limited, starts := false, 0.0
	for _, s := range v.endpoints {
		if !s.usable(now) {
			continue
		}
		perSecond := share * float64(s.Slots) / v.meanHold.Seconds()
		if s.pacer != nil {
			limited = true
			perSecond = min(perSecond, s.pacer.PerSecond())
		}
		starts += perSecond
	}
	if !limited {
		return interval
	}
	if seconds := 1 / starts; seconds < maxSlotInterval.Seconds() {
		return max(interval, time.Duration(seconds*float64(time.Second)))
	}
	return maxSlotInterval
}

// waitBound returns an upper estimate of the time until a request with ahead others
// before it gets a slot; a few percent of the waits are longer. Slots are released at
// random, so the time until n releases has a standard deviation proportional to the
// square root of n.
func (v *service) waitBound(now time.Time, share float64, ahead int) time.Duration {
	n := float64(ahead + 1)
	return time.Duration((n + waitDeviations*math.Sqrt(n)) * float64(v.slotInterval(now, share)))
}

// retryAfter returns the Retry-After for a refused client. While requests arrive faster
// than slots are released, no slot is free before the burst is over; otherwise one is
// free once the queue has drained. Retry times are spaced by slotInterval, in the order
// of the refusals.
func (v *service) retryAfter(now time.Time, share float64) time.Duration {
	interval := v.slotInterval(now, share)
	wait := minRetryAfter + time.Duration(len(v.queue))*interval
	if v.arrivals.perSecond(now)*interval.Seconds() >= 1 {
		wait = max(wait, burstRetryAfter)
	}
	earliest := now.Add(wait)
	if v.nextRetry.Before(earliest) {
		v.nextRetry = earliest
	} else {
		v.nextRetry = v.nextRetry.Add(interval)
	}
	if latest := now.Add(maxRetryAfter); v.nextRetry.After(latest) {
		v.nextRetry = latest
	}
	return v.nextRetry.Sub(now)
}

// onlineReserve returns the slots that batch items leave free for the online requests
// of the next reserveHorizon. Requests end about as fast as they arrive, so the reserve
// covers only the standard deviation of the number of arrivals.
func (v *service) onlineReserve(now time.Time) int {
	return int(math.Ceil(math.Sqrt(v.arrivals.perSecond(now) * reserveHorizon.Seconds())))
}

// observeHold adds the slot time of a finished online request to the average.
func (v *service) observeHold(held time.Duration) {
	v.meanHold += time.Duration(averageWeight * float64(held-v.meanHold))
}

// observeFirst adds a time from grant to first event to the averages.
func (v *service) observeFirst(took time.Duration) {
	if took <= 0 {
		return
	}
	v.firstDeviation += time.Duration(averageWeight * float64((took-v.meanFirst).Abs()-v.firstDeviation))
	v.meanFirst += time.Duration(averageWeight * float64(took-v.meanFirst))
}

// firstTokenBound returns an upper estimate of the time from a grant to the first event,
// for the decision on a request. It matters for engines whose first event takes a third
// of the objective: with an estimate that is too short, requests would wait until they
// can no longer be in time, and then take the slots of requests that could be.
func (v *service) firstTokenBound() time.Duration {
	return v.meanFirst + time.Duration(firstDeviations*float64(v.firstDeviation))
}

// observeTokens adds a run that generated the given number of tokens to the average time
// per token.
func (v *service) observeTokens(took time.Duration, tokens int) {
	if took <= 0 {
		return
	}
	measured := took / time.Duration(tokens)
	weight := min(maxTokenWeight, tokenWeight*float64(tokens))
	v.perToken += time.Duration(weight * float64(measured-v.perToken))
}
