package route

import "time"

// Route sends the requests of a host name and path prefix to a service.
type Route struct {
	Name string
	// Host is the host name that requests carry, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Backends are the services that share the requests.
	Backends []Backend
	// MaxAttempts bounds the endpoints that may run one request.
	MaxAttempts int
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer should begin.
	Objective time.Duration
	// EventGap is the longest pause between events of a stream that is on time.
	EventGap time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Resumable streams can go on at another endpoint after any event.
	Resumable bool
	// Generates tells that requests are generations of a model, which take a
	// slot of an engine.
	Generates bool
	// Window is how long after its submission a batch job is due.
	Window time.Duration
	// Retention is how long after its submission a batch job's open items may
	// be given up.
	Retention time.Duration
	// WaitingTokens bounds the tokens of the batch items that wait; 0 is no bound.
	WaitingTokens int64
}

// Backend is a share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || (r.Kind == Streaming && r.Resumable)
}

// Allows reports whether the route sends requests to a service.
func (r *Route) Allows(service string) bool {
	for _, b := range r.Backends {
		if b.Service == service {
			return true
		}
	}
	return false
}

// Pick returns the service for a request by a number that is evenly
// distributed, or "" if the route has none.
func (r *Route) Pick(number uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		if len(r.Backends) == 0 {
			return ""
		}
		return r.Backends[0].Service
	}
	rest := int(number % uint64(total))
	for _, b := range r.Backends {
		if rest -= b.Weight; rest < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
