package origin

import (
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

// startMargin is how far endpoints' clocks may differ from this host's.
const startMargin = 10 * time.Second

// History tracks which software versions of each service serve. It is not safe for concurrent
// use.
type History struct {
	services map[string]*serviceHistory
	// noted are the services of which other hosts noted, before this one started, that they
	// have several versions; nil until that was read.
	noted map[string]bool
}

// serviceHistory is the history of one service.
type serviceHistory struct {
	// since is when the first endpoint was seen.
	since time.Time
	// lastSeen is when each version was last listed. A version stays for Retention, as its
	// endpoints finish their streams after they have left the list.
	lastSeen map[string]time.Time
	// newest is the latest start of an endpoint, by the endpoint's own clock.
	newest time.Time
}

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{services: make(map[string]*serviceHistory)}
}

// Observe records the endpoints that are listed now.
func (h *History) Observe(now time.Time, endpoints []endpoint.Endpoint) {
	for i := range endpoints {
		e := &endpoints[i]
		s := h.services[e.Service]
		if s == nil {
			s = &serviceHistory{since: now, lastSeen: make(map[string]time.Time)}
			h.services[e.Service] = s
		}
		s.lastSeen[e.Version] = now
		if e.Started.After(s.newest) {
			s.newest = e.Started
		}
	}
	for _, s := range h.services {
		for version, at := range s.lastSeen {
			if now.Sub(at) > Retention {
				delete(s.lastSeen, version)
			}
		}
	}
}

// SetNoted records which services have several versions, as other hosts noted before this one
// started.
func (h *History) SetNoted(services map[string]bool) {
	h.noted = services
}

// Several returns the services that have several versions, or had them within Retention, as far
// as this host knows.
func (h *History) Several(now time.Time) []string {
	var out []string
	for service, s := range h.services {
		if len(s.lastSeen) > 1 || (h.noted[service] && now.Sub(s.since) < Retention) {
			out = append(out, service)
		}
	}
	return out
}

// Only returns the one version of a service that can have begun streams which still run or can
// be taken up again. It reports false if there are several, or if this host can't know: it has
// not watched the service for long, an endpoint started so recently that it may have replaced
// one of another version, and it has not read that there was none. wall is the time of day.
func (h *History) Only(now, wall time.Time, service string) (version string, known bool) {
	s := h.services[service]
	if s == nil || len(s.lastSeen) != 1 {
		return "", false
	}
	if now.Sub(s.since) < Retention {
		young := wall.Sub(s.newest) < Retention+startMargin
		if h.noted[service] || (h.noted == nil && young) {
			return "", false
		}
	}
	for version = range s.lastSeen {
		return version, true
	}
	return "", false
}

// Certain reports whether the version of any stream is known without a record of it, as Only
// returns one for every service.
func (h *History) Certain(now, wall time.Time) bool {
	for service := range h.services {
		if _, known := h.Only(now, wall, service); !known {
			return false
		}
	}
	return true
}
