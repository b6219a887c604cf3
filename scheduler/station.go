package scheduler

import (
	"time"

	"github.com/peridotmount/peridotmount/promptcache"
	"github.com/peridotmount/peridotmount/recent"
	"github.com/peridotmount/peridotmount/throttle"
)

// endpointState is an endpoint and the scheduler's state of it.
type endpointState struct {
	Endpoint
	// tieBreak orders equally good endpoints, differently at each scheduling host. After
	// a power failure, 300 hosts may each schedule for themselves; if all ordered
	// endpoints by id, they would send their first requests to the same few.
	tieBreak uint64
	tickets  map[string]*ticket
	revoked  int
	tokens   int64
	// pausedBy is the host that began the last pause by failing to use the endpoint; "" if the
	// endpoint's own answer did.
	pausedBy string
	// idleConnections maps hosts to the expiry times of their idle connections to this
	// endpoint, oldest first.
	idleConnections map[string][]time.Time
	// promptParts holds the prompt parts that the endpoint processed recently and
	// probably has cached.
	promptParts *recent.Set
	// pacer spaces the requests to an endpoint with a rate limit; nil if it has none.
	pacer *throttle.Pacer
	// choice is that of the service, place where the endpoint is, cache the model of the engine's prompt cache, and
	// prefillUntil the time until which it reads the prompts that it was sent. They are used
	// only with Options.WeighWaits.
	choice       *choice
	place        place
	cache        *promptcache.Engine
	prefillUntil time.Time
	// failures counts consecutive failures.
	failures int
	// speed and health are what the times and outcomes of its uses say of the endpoint; with
	// Options.EndpointFeedback. Decisions read the end of speed, the beginning of health and
	// what is between them of each endpoint.
	speed endpointSpeed
	// listed means that the endpoint accepts new work. If not, it may still have tickets.
	listed bool
	// pausedUntil is the end of the pause after a failure, during which the endpoint
	// gets no new work.
	pausedUntil time.Time
	health      endpointHealth
	// removed means that the endpoint is no longer one of its service.
	removed bool
}

// maxPromptParts is how many prompt parts are remembered for an endpoint. Its cache of
// some 150,000 tokens holds about this many parts of 200 tokens.
const maxPromptParts = 600

func newEndpointState(e Endpoint, tieBreak uint64) *endpointState {
	return &endpointState{
		Endpoint:        e,
		tieBreak:        tieBreak,
		tickets:         make(map[string]*ticket),
		idleConnections: make(map[string][]time.Time),
		promptParts:     recent.NewSet(maxPromptParts),
	}
}

// before reports whether the endpoint is preferred to another one of the same cost.
func (s *endpointState) before(o *endpointState) bool {
	if s.tieBreak != o.tieBreak {
		return s.tieBreak < o.tieBreak
	}
	return s.ID < o.ID
}

// heldSlots returns the slots in use that are not revoked.
func (s *endpointState) heldSlots() int {
	return len(s.tickets) - s.revoked
}

// hasRevocable reports whether a batch item runs that can be revoked.
func (s *endpointState) hasRevocable() bool {
	for _, t := range s.tickets {
		if t.item != nil && !t.revoked {
			return true
		}
	}
	return false
}

// usable reports whether the endpoint is listed, not paused and not excluded, for all hosts.
func (s *endpointState) usable(now time.Time) bool {
	return s.listed && s.health.level != healthExcluded && !now.Before(s.pausedUntil)
}

// hasVersion reports whether the endpoint has a software version; nil stands for any.
func (s *endpointState) hasVersion(version *string) bool {
	return version == nil || s.Version == *version
}

// setRateLimit applies the endpoint's rate limit, of which this scheduler has a share.
func (s *endpointState) setRateLimit(now time.Time, share float64) {
	switch {
	case s.RateLimit <= 0:
		s.pacer = nil
	case s.pacer == nil:
		s.pacer = throttle.NewPacer(now, s.RateLimit, share, s.phase())
	default:
		s.pacer.SetRate(now, s.RateLimit, share)
	}
}

// phase returns a number from 0 to 1 that differs between schedulers.
func (s *endpointState) phase() float64 {
	return float64(s.tieBreak) / (1 << 64)
}

// takesRequest reports whether the rate limit admits another request now.
func (s *endpointState) takesRequest(now time.Time) bool {
	return s.pacer == nil || s.pacer.Due(now) > 0
}

// countRequest counts a request against the rate limit.
func (s *endpointState) countRequest(now time.Time) {
	if s.pacer != nil {
		s.pacer.Take(now)
	}
}

// admissible returns how many requests could start now, in free slots and as the rate limit
// admits.
func (s *endpointState) admissible(now time.Time) int {
	free := max(0, s.Slots-len(s.tickets))
	if s.pacer == nil {
		return free
	}
	return min(free, s.pacer.Due(now))
}

// fits reports whether the cache has room for a generation of so many tokens, besides
// those in progress. An endpoint without work accepts any.
func (s *endpointState) fits(tokens int) bool {
	return s.CacheTokens <= 0 || len(s.tickets) == 0 || s.tokens+int64(tokens) <= s.CacheTokens
}

func (s *endpointState) add(t *ticket) {
	s.tickets[t.id] = t
	s.tokens += int64(t.tokens)
	s.refresh()
}

func (s *endpointState) remove(t *ticket) {
	delete(s.tickets, t.id)
	s.tokens -= int64(t.tokens)
	if t.revoked {
		s.revoked--
	}
	s.refresh()
	if t.trial {
		s.health.trials--
	}
}

// pause excludes the endpoint from new work after a failure. The pause starts at base
// and doubles with consecutive failures, up to longest.
func (s *endpointState) pause(now time.Time, base, longest time.Duration, host string) {
	d := min(base<<min(s.failures, 6), longest)
	s.failures++
	s.pausedBy = host
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// markHealthy ends the pause and resets the failure count after a response.
func (s *endpointState) markHealthy() {
	s.failures = 0
	s.pausedUntil = time.Time{}
}

// hasIdleConnection reports whether a host has an unexpired idle connection.
func (s *endpointState) hasIdleConnection(now time.Time, host string) bool {
	conns := s.idleConnections[host]
	return len(conns) > 0 && now.Before(conns[len(conns)-1])
}

// takeConnection removes the most recently used idle connection of a host.
func (s *endpointState) takeConnection(host string) {
	if conns := s.idleConnections[host]; len(conns) > 0 {
		s.idleConnections[host] = conns[:len(conns)-1]
	}
}

// keepConnection records a connection that became idle, and drops expired ones.
func (s *endpointState) keepConnection(now time.Time, host string) {
	conns := s.idleConnections[host]
	for len(conns) > 0 && !now.Before(conns[0]) {
		conns = conns[1:]
	}
	s.idleConnections[host] = append(conns, now.Add(connectionIdleTimeout))
	if s.choice != nil {
		s.choice.setIdle(host, s)
	}
}
