package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/peridotmount/peridotmount/promptcache"
)

// Terms of the cost of a placement with Options.WeighWaits. All times are in milliseconds.
const (
	// Round trips between host and endpoint: twice the 0.5 to 0.9 ms between zones, and the
	// 8 ms between regions.
	zoneRoundTrip   = 0.3
	crossZoneTrip   = 1.4
	crossRegionTrip = 16.0
	// regionPrice is what traffic between regions costs beside the time, as it is billed.
	regionPrice = 4.0
	// connectTime is the time to open a connection beside the round trip.
	connectTime = 1.0
	// freeingTime is the time until a revoked batch item has released its slot: a message to
	// its host, and the end of a step of the engine.
	freeingTime = 20.0
	// eventTokens is the number of tokens of the first event.
	eventTokens = 12
	// fullSlowdown is how much longer a step of a full engine takes than one of an empty
	// engine: 4.1 ms instead of 3.
	fullSlowdown = 0.06
	// streamShare is the weight of the time after the first event: callers read a stream
	// while it is generated.
	streamShare = 0.1
	// maxRun bounds the weighted time of a generation.
	maxRun = 5000.0
	// displacedShare is the weight of what later requests wait for parts that a prompt displaces
	// from the engine's memory when it is read. It makes requests for a part that is being read
	// follow to that engine, rather than have each of them read it elsewhere.
	displacedShare = 0.1
	// maxPrefill bounds the time for which a request has its endpoint counted as busy: the number
	// of tokens is the client's claim.
	maxPrefill = 1000.0
	// lateShare is the additional weight of the time beyond the objective.
	lateShare = 3.0
	// limitWait and revocationWait replace costLimited and costRevocable. They exceed what
	// the load of an endpoint adds, as those do.
	limitWait      = 75.0
	revocationWait = 250.0
	// minPace bounds the pace of an endpoint from below.
	minPace = 0.1
	// slackClass is the difference in slack up to which batch items are equally good to revoke.
	slackClass = time.Second
	// maxPreference is the largest difference between equally good endpoints.
	maxPreference = 0.05
)

// Waits are the terms of the cost of a placement: the milliseconds that the caller waits in
// expectation.
type Waits struct {
	// Busy is the time until the endpoint has read the prompts that it was sent before, Load
	// how much longer the steps take due to the other work in progress.
	Busy float64 `json:"busy,omitempty"`
	Load float64 `json:"load,omitempty"`
	// Distance is the round trip, with the price of traffic between regions, Connection the
	// time to open a connection, and Freeing the time until a revoked item has released the slot.
	Distance   float64 `json:"distance,omitempty"`
	Connection float64 `json:"connection,omitempty"`
	Freeing    float64 `json:"freeing,omitempty"`
	// Pace is how much longer than at the median pace the generation takes, negative at fast
	// endpoints. Prefill is the time to read the part of the prompt that is not cached.
	Pace    float64 `json:"pace,omitempty"`
	Prefill float64 `json:"prefill,omitempty"`
	// Others is what the other requests in progress wait while the endpoint reads the prompt.
	Others float64 `json:"others,omitempty"`
	// Displaced is what later requests wait for the parts that the prompt displaces.
	Displaced float64 `json:"displaced,omitempty"`
	// Risk is the expected wait due to a failure, Late the weight of what is beyond the
	// objective.
	Risk float64 `json:"risk,omitempty"`
	Late float64 `json:"late,omitempty"`
	// Limit and Revocation are what others wait later: requests that the rate limit no longer
	// admits, and those for which the item has to be revoked.
	Limit      float64 `json:"limit,omitempty"`
	Revocation float64 `json:"revocation,omitempty"`
}

// sum returns the cost.
func (w *Waits) sum() float64 {
	return w.Busy + w.Load + w.Distance + w.Connection + w.Freeing + w.Pace + w.Prefill + w.Others + w.Displaced + w.Risk + w.Late + w.Limit + w.Revocation
}

// untilFirst returns what delays the first event before the engine reads the prompt.
func (w *Waits) untilFirst() float64 {
	return w.Busy + w.Distance + w.Connection + w.Freeing
}

// weights is what the terms of one placement have in common at all endpoints.
type weights struct {
	// first is the time to generate the first event at an empty endpoint of the median pace,
	// run that of the whole generation, weighted by streamShare.
	first, run float64
	// unread are the tokens to be read if the given number of parts is cached, prefill is the
	// time that this takes at the median pace.
	unread  [promptcache.MaxParts + 1]int
	prefill [promptcache.MaxParts + 1]float64
}

// weights returns the weights of a placement.
func (v *service) weights(p *placement) weights {
	token := milliseconds(v.perToken)
	k := weights{first: eventTokens * token}
	k.run = min(k.first+streamShare*token*float64(p.expected), maxRun)
	if p.chain == nil {
		return k
	}
	rate := v.choice.rate.TokensPerMillisecond()
	k.unread[0] = p.chain.Total()
	for i, part := range p.chain.Parts() {
		k.unread[i+1] = k.unread[i] - part.Tokens
	}
	for i := len(p.chain.Parts()); i < len(k.unread)-1; i++ {
		k.unread[i+1] = k.unread[i]
	}
	for i := range k.unread {
		k.prefill[i] = float64(k.unread[i]) / rate
	}
	return k
}

// invested returns prefill less what earlier requests have waited because no endpoint of their
// region has the parts, but no less than if all shared parts were cached.
func (k *weights) invested(crossed float64) [promptcache.MaxParts + 1]float64 {
	out := k.prefill
	for i := range out {
		out[i] = max(out[i]-crossed, min(out[i], k.prefill[len(out)-1]))
	}
	return out
}

// waits returns the terms of the cost of an endpoint that has a number of the prompt's parts.
func (p *placement) waits(now time.Time, k *weights, s *endpointState, held int) Waits {
	pace := s.choice.paceOf(s)
	slow := slowdown(s, pace)
	w := Waits{
		Busy:    busyWait(now, s),
		Load:    k.run * slow,
		Freeing: freeingWait(s),
		Pace:    k.run * (pace - 1),
		Prefill: k.prefill[held] * pace,
		Others:  k.prefill[held] * pace * othersShare(s),

		Displaced: k.prefill[held] * pace * displacedShare,
		Risk:      milliseconds(s.risk(now, p.repeatable)),
	}
	if p.host != nil {
		at := place{s.Zone, s.Region}
		w.Distance = distanceWait(p.host, at)
		if !s.hasIdleConnection(now, p.host.name) {
			w.Connection = connectionWait(p.host, at)
		}
	}
	switch {
	case p.batch:
		w.Revocation = p.revocationWait(s)
	default:
		w.Limit = limitedWait(now, s)
		w.Late = lateWait(w.untilFirst()+w.Prefill+k.first*(pace+slow), p.left)
	}
	return w
}

// slowdown returns how much longer a step takes due to the work in progress, relative to a step
// of an empty endpoint of the median pace.
func slowdown(s *endpointState, pace float64) float64 {
	return fullSlowdown * pace * float64(min(len(s.tickets), s.Slots)) / float64(max(1, s.Slots))
}

// othersShare returns the weight of what the other requests in progress wait while the endpoint
// reads a prompt, relative to what its caller waits.
func othersShare(s *endpointState) float64 {
	return streamShare * float64(min(len(s.tickets), s.Slots))
}

// busyWait returns the time until the endpoint has read the prompts that it was sent. A request
// for a part that is being read there waits for it, and finds it cached.
func busyWait(now time.Time, s *endpointState) float64 {
	return max(0, milliseconds(s.prefillUntil.Sub(now)))
}

// roundTrip returns the time for a message to an endpoint and back.
func roundTrip(m *member, at place) float64 {
	switch {
	case m.region != at.region:
		return crossRegionTrip
	case m.zone != at.zone:
		return crossZoneTrip
	default:
		return zoneRoundTrip
	}
}

// distanceWait returns the cost of the distance between host and endpoint.
func distanceWait(m *member, at place) float64 {
	if m.region != at.region {
		return crossRegionTrip + regionPrice
	}
	return roundTrip(m, at)
}

// connectionWait returns the time to open a connection.
func connectionWait(m *member, at place) float64 {
	return roundTrip(m, at) + connectTime
}

// freeingWait returns the time until the endpoint has a free slot, if a revoked item holds it.
func freeingWait(s *endpointState) float64 {
	if len(s.tickets) >= s.Slots {
		return freeingTime
	}
	return 0
}

// lateWait returns the additional weight of a first event after the objective.
func lateWait(first float64, left time.Duration) float64 {
	return lateShare * max(0, first-max(0, milliseconds(left)))
}

// limitedWait keeps online requests away from endpoints whose rate limit will be needed for the
// next wave of them, the more the less has accrued there.
func limitedWait(now time.Time, s *endpointState) float64 {
	if s.pacer == nil {
		return 0
	}
	return limitWait * (1 - s.pacer.Fill(now))
}

// revocationWait keeps batch items away from endpoints without a rate limit while others have
// one: the slots there are what waves of online requests need.
func (p *placement) revocationWait(s *endpointState) float64 {
	if p.limited && s.pacer == nil {
		return revocationWait
	}
	return 0
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// estimate is what was expected of a placement, to compare it with what happened.
type estimate struct {
	// load identifies the use of the slot in the model of the prompt cache.
	load uint64
	// held and unread are the tokens that the endpoint was expected to have cached, and to read.
	held, unread int
	pace         float64
	waits        Waits
	// prefillEnd is when the endpoint is expected to have read the prompt.
	prefillEnd time.Time
}

// estimate records in a ticket what is expected of a placement.
func (v *service) estimate(now time.Time, p *placement, s *endpointState, t *ticket) {
	if v.choice == nil {
		return
	}
	k := v.weights(p)
	held := s.cache.Held(&t.chain)
	t.estimate = estimate{
		held: t.chain.Total() - k.unread[held], unread: k.unread[held], pace: s.choice.paceOf(s), waits: p.waits(now, &k, s, held),
	}
	v.choice.placed(p, s, &t.estimate)
}

// loadPrompt records that the endpoint is sent the prompt of a ticket.
func (s *endpointState) loadPrompt(now time.Time, t *ticket) {
	t.estimate.prefillEnd = now
	if took := time.Duration(min(t.estimate.waits.Prefill, maxPrefill) * float64(time.Millisecond)); took > 0 {
		begin := now
		if s.prefillUntil.After(begin) {
			begin = s.prefillUntil
		}
		t.estimate.prefillEnd = begin.Add(took)
		s.prefillUntil = t.estimate.prefillEnd
	}
	s.cache.Load(&t.chain, t.estimate.load)
}

// observeRead learns from the end of a use whether the endpoint has read the prompt, and how fast.
func (v *service) observeRead(now time.Time, t *ticket, u *Usage) {
	if v.choice == nil || t.endpoint.choice == nil {
		return
	}
	s, e := t.endpoint, &t.estimate
	read := u.Outcome == Finished || u.First > 0 || t.item != nil && u.TokensDone > t.item.TokensDone ||
		u.Outcome == Abandoned && !now.Before(e.prefillEnd)
	if !read {
		s.cache.Unload(&t.chain, e.load)
	}
	if s.prefillUntil.Equal(e.prefillEnd) && e.prefillEnd.After(now) {
		s.prefillUntil = now
	}
	if u.First > 0 && t.class == Online && e.unread > 0 {
		took := milliseconds(u.First) - e.waits.untilFirst()
		v.choice.rate.Observe(float64(e.unread), took/e.pace)
	}
}

// Choice is what was expected of the endpoint of a Grant.
type Choice struct {
	// Held and Read are the tokens of the prompt that the endpoint was expected to have
	// cached, and to read.
	Held int `json:"held"`
	Read int `json:"read"`
	// SharedHeld and SharedRead are those of the parts that other prompts may share.
	SharedHeld int `json:"shared_held"`
	SharedRead int `json:"shared_read"`
	// Rate is the learned number of prompt tokens that an engine reads per millisecond.
	Rate float64 `json:"rate"`
	// Waits are the terms of the cost.
	Waits Waits `json:"waits"`
}

// describe returns what was expected of the placement of a ticket.
func (v *service) describe(t *ticket) *Choice {
	if v.choice == nil {
		return nil
	}
	e := &t.estimate
	shared := t.chain.Shared()
	return &Choice{
		Held: e.held, Read: e.unread, SharedHeld: e.held, SharedRead: shared - e.held,
		Rate:  tenths(v.choice.rate.TokensPerMillisecond()),
		Waits: e.waits.rounded(),
	}
}

// rounded returns the terms in tenths of a millisecond.
func (w Waits) rounded() Waits {
	for _, term := range []*float64{
		&w.Busy, &w.Load, &w.Distance, &w.Connection, &w.Freeing, &w.Pace, &w.Prefill, &w.Others, &w.Displaced, &w.Risk, &w.Late, &w.Limit, &w.Revocation,
	} {
		*term = tenths(*term)
	}
	return w
}

func tenths(x float64) float64 {
	return math.Round(10*x) / 10
}

// String formats the choice for logs.
func (c *Choice) String() string {
	out := fmt.Sprintf("held %d, read %d", c.Held, c.Read)
	w := &c.Waits
	for _, term := range []struct {
		name  string
		value float64
	}{
		{"busy", w.Busy}, {"load", w.Load}, {"distance", w.Distance}, {"connection", w.Connection}, {"freeing", w.Freeing},
		{"pace", w.Pace}, {"prefill", w.Prefill}, {"others", w.Others}, {"displaced", w.Displaced}, {"risk", w.Risk}, {"late", w.Late}, {"limit", w.Limit},
	} {
		if term.value != 0 {
			out += fmt.Sprintf(", %s %.1f ms", term.name, term.value)
		}
	}
	return out
}
