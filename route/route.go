package route

import "time"

// Route maps the requests with a host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name in the Host header of requests, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Backends are the services among which the requests are distributed.
	Backends []Backend
	// MaxAttempts bounds the number of endpoints that may run one request.
	MaxAttempts int
	// Timeout bounds the time from the start of a request to the end of its response.
	Timeout time.Duration
	// Objective is the latency objective for the start of a response.
	Objective time.Duration
	// EventGap is the time between two events above which a stream counts as late.
	EventGap time.Duration
	// Priority orders requests of different routes; 0 is the highest priority.
	Priority int
	// Resumable means that streams can be resumed at another endpoint after any event.
	Resumable bool
	// Public means that requests need no key, even if the configuration has workspaces.
	Public bool
	// Generates means that a request generates output with a model and occupies a
	// slot of an engine.
	Generates bool
	// Window is the time from a batch job's submission to its deadline.
	Window time.Duration
	// Retention is the time from a batch job's submission after which its unfinished
	// items may be abandoned.
	Retention time.Duration
	// WaitingTokens bounds the total tokens of queued batch items; 0 means no bound.
	WaitingTokens int64
}

// Backend is a service that gets a share of a route's requests, in proportion to
// Weight.
type Backend struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || (r.Kind == Streaming && r.Resumable)
}

// Allows reports whether the service is one of the route's backends.
func (r *Route) Allows(service string) bool {
	for _, b := range r.Backends {
		if b.Service == service {
			return true
		}
	}
	return false
}

// Pick selects the service for a request by weight. The number has to be evenly
// distributed; the same number selects the same service. If no weight is positive, the
// first backend is returned, or "" if the route has none.
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
	remaining := int(number % uint64(total))
	for _, b := range r.Backends {
		if remaining -= b.Weight; remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
