package scheduler

import (
	"time"

	"github.com/peridotmount/peridotmount/recent"
)

// station is an endpoint with the slots in use there.
type station struct {
	Endpoint
	// order is the place among equal stations. The load it answers: three hundred hosts
	// that schedule for themselves after a loss of power. In the order of the ids, all
	// would send their first requests to the same few endpoints.
	order uint64
	// listed tells that the endpoint takes new work; it may hold tickets still.
	listed  bool
	tickets map[string]*ticket
	revoked int
	tokens  int64
	// pausedUntil ends a time without new work after a failure, and failures
	// counts those in a row.
	pausedUntil time.Time
	failures    int
	// idle holds by host when the connections kept to this endpoint expire.
	idle map[string][]time.Time
	// prompts remembers the parts of prompts that were read here.
	prompts *recent.Set
}

// promptsKept is how many parts of prompts are remembered of an endpoint: its
// memory of some 150,000 tokens holds about as many of 200 tokens.
const promptsKept = 600

func newStation(e Endpoint, order uint64) *station {
	return &station{
		Endpoint: e,
		order:    order,
		tickets:  make(map[string]*ticket),
		idle:     make(map[string][]time.Time),
		prompts:  recent.NewSet(promptsKept),
	}
}

// before reports whether the station comes before another that is as good.
func (s *station) before(o *station) bool {
	if s.order != o.order {
		return s.order < o.order
	}
	return s.ID < o.ID
}

// kept returns the slots in use that are not being given back.
func (s *station) kept() int {
	return len(s.tickets) - s.revoked
}

// usable reports whether the station takes new work.
func (s *station) usable(now time.Time) bool {
	return s.listed && !now.Before(s.pausedUntil)
}

// fits reports whether a generation fits beside what runs.
func (s *station) fits(tokens int) bool {
	return s.CacheTokens <= 0 || len(s.tickets) == 0 || s.tokens+int64(tokens) <= s.CacheTokens
}

func (s *station) add(t *ticket) {
	s.tickets[t.id] = t
	s.tokens += int64(t.tokens)
}

func (s *station) remove(t *ticket) {
	delete(s.tickets, t.id)
	s.tokens -= int64(t.tokens)
	if t.revoked {
		s.revoked--
	}
}

// pause keeps new work away after a failure.
func (s *station) pause(now time.Time, base time.Duration) {
	d := min(base<<min(s.failures, 6), maxPause)
	s.failures++
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// works notes that the endpoint answered.
func (s *station) works() {
	s.failures = 0
	s.pausedUntil = time.Time{}
}

// warm reports whether a host has an idle connection.
func (s *station) warm(now time.Time, host string) bool {
	conns := s.idle[host]
	return len(conns) > 0 && now.Before(conns[len(conns)-1])
}

// useConnection takes the idle connection that was used last.
func (s *station) useConnection(host string) {
	if conns := s.idle[host]; len(conns) > 0 {
		s.idle[host] = conns[:len(conns)-1]
	}
}

// keepConnection notes a connection that became idle.
func (s *station) keepConnection(now time.Time, host string) {
	conns := s.idle[host]
	for len(conns) > 0 && !now.Before(conns[0]) {
		conns = conns[1:]
	}
	s.idle[host] = append(conns, now.Add(connectionIdle))
}
