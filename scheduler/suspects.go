package scheduler

import "time"

const (
	// crashesBorne is how many endpoints a request may break before it is kept
	// from others: endpoints also break by themselves.
	crashesBorne = 3
	// suspectMemory is how long a request is remembered after it broke one: its
	// caller sends it again within seconds.
	suspectMemory = 2 * time.Minute
	// suspectsKept bounds the requests that are remembered.
	suspectsKept = 4096
)

// Suspects finds the requests that break the endpoints which run them, over all
// hosts. It is a deterministic state machine; it is not safe for concurrent use.
type Suspects struct {
	byRequest map[string]*suspect
}

// suspect is a request and the endpoints that it broke.
type suspect struct {
	endpoints map[string]bool
	last      time.Time
}

// NewSuspects returns Suspects that know of no request.
func NewSuspects() *Suspects {
	return &Suspects{byRequest: make(map[string]*suspect)}
}

// Broke notes that an endpoint broke off a request, and reports whether the
// request is to be kept from others from now on.
func (s *Suspects) Broke(now time.Time, request, endpoint string) bool {
	s.forget(now)
	q := s.byRequest[request]
	if q == nil {
		if len(s.byRequest) >= suspectsKept {
			return false
		}
		q = &suspect{endpoints: make(map[string]bool)}
		s.byRequest[request] = q
	}
	q.last = now
	known := len(q.endpoints) >= crashesBorne
	q.endpoints[endpoint] = true
	return !known && len(q.endpoints) >= crashesBorne
}

// Quarantined returns the requests that are kept from endpoints.
func (s *Suspects) Quarantined(now time.Time) []string {
	s.forget(now)
	var out []string
	for request, q := range s.byRequest {
		if len(q.endpoints) >= crashesBorne {
			out = append(out, request)
		}
	}
	return out
}

func (s *Suspects) forget(now time.Time) {
	for request, q := range s.byRequest {
		if now.Sub(q.last) > suspectMemory {
			delete(s.byRequest, request)
		}
	}
}
