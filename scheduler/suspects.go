package scheduler

import "time"

const (
	// quarantineThreshold is how many endpoints have to fail while running a request
	// until it is quarantined. Single failures may have other causes.
	quarantineThreshold = 3
	// suspectRetention is how long a request is remembered after its last failure.
	// Callers retry within seconds.
	suspectRetention = 2 * time.Minute
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
)

// Suspects detects requests that crash the endpoints that run them, across all hosts. It
// is a deterministic state machine; it is not safe for concurrent use.
type Suspects struct {
	byRequest map[string]*suspect
}

// suspect holds the endpoints that failed while running a request.
type suspect struct {
	endpoints   map[string]bool
	lastFailure time.Time
}

// NewSuspects returns an empty Suspects.
func NewSuspects() *Suspects {
	return &Suspects{byRequest: make(map[string]*suspect)}
}

// RecordFailure records that an endpoint failed while running a request, and reports
// whether the request has just reached the quarantine threshold.
func (s *Suspects) RecordFailure(now time.Time, request, endpoint string) bool {
	s.expire(now)
	q := s.byRequest[request]
	if q == nil {
		if len(s.byRequest) >= maxSuspects {
			return false
		}
		q = &suspect{endpoints: make(map[string]bool)}
		s.byRequest[request] = q
	}
	q.lastFailure = now
	wasQuarantined := len(q.endpoints) >= quarantineThreshold
	q.endpoints[endpoint] = true
	return !wasQuarantined && len(q.endpoints) >= quarantineThreshold
}

// Quarantined returns the requests that must not be sent to endpoints.
func (s *Suspects) Quarantined(now time.Time) []string {
	s.expire(now)
	var out []string
	for request, q := range s.byRequest {
		if len(q.endpoints) >= quarantineThreshold {
			out = append(out, request)
		}
	}
	return out
}

func (s *Suspects) expire(now time.Time) {
	for request, q := range s.byRequest {
		if now.Sub(q.lastFailure) > suspectRetention {
			delete(s.byRequest, request)
		}
	}
}
