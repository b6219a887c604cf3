package origin

import (
	"maps"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

// History tracks which software versions of each service serve. It is not safe for concurrent
// use.
//
// Invariant: a version that was listed within Retention is in lastSeen, or Only knows none.
type History struct {
	services map[string]*serviceHistory
	// noted are the services that had several versions, as others knew that were there before
	// this host; nil until one has told, which is not the same as that there were none.
	noted map[string]bool
	// missedAt is when endpoints may last have come and gone unseen; zero if never.
	missedAt time.Time
}

// serviceHistory is the history of one service.
type serviceHistory struct {
	// since is when the first endpoint was seen.
	since time.Time
	// lastSeen is until when each version may have been listed. A version stays for Retention, as
	// its endpoints finish their streams after they have left the list.
	lastSeen map[string]time.Time
	// listed are the versions that were listed when this host last looked, or since.
	listed map[string]bool
}

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{services: make(map[string]*serviceHistory)}
}

// Observe records the endpoints that are listed now.
func (h *History) Observe(now time.Time, endpoints []endpoint.Endpoint) {
	for _, s := range h.services {
		for version, at := range s.lastSeen {
			switch {
			case s.listed[version]:
				// The last look may be long ago, and the version may have left just now.
				s.lastSeen[version] = now
			case now.Sub(at) > Retention:
				delete(s.lastSeen, version)
			}
		}
		clear(s.listed)
	}
	for i := range endpoints {
		h.ObserveRecord(now, &endpoints[i])
	}
}

// ObserveRecord records an endpoint that was listed since the last call of Observe.
func (h *History) ObserveRecord(now time.Time, e *endpoint.Endpoint) {
	s := h.services[e.Service]
	if s == nil {
		s = &serviceHistory{since: now, lastSeen: make(map[string]time.Time), listed: make(map[string]bool)}
		h.services[e.Service] = s
	}
	s.lastSeen[e.Version] = now
	s.listed[e.Version] = true
}

// Miss records that endpoints may have come and gone since the last call of Observe.
func (h *History) Miss(now time.Time) {
	h.missedAt = now
}

// Missed reports whether streams may go on of endpoints that came and went unseen.
func (h *History) Missed(now time.Time) bool {
	return !h.missedAt.IsZero() && now.Sub(h.missedAt) < Retention
}

// AddNoted records which services have several versions, as others knew before this host started.
func (h *History) AddNoted(services map[string]bool) {
	if h.noted == nil {
		h.noted = make(map[string]bool)
	}
	maps.Copy(h.noted, services)
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

// Informed reports whether Several names all such services: others have told what they knew before
// this host started, or it has watched for long enough itself.
func (h *History) Informed(now time.Time) bool {
	if h.Missed(now) {
		return false
	}
	if h.noted != nil {
		return true
	}
	for _, s := range h.services {
		if now.Sub(s.since) < Retention {
			return false
		}
	}
	return len(h.services) > 0
}

// Only returns the one version of a service that can have begun streams which still run or can
// be taken up again. It reports false if there are several, or if this host can't know: it has
// not watched the service for long, and nobody has told what was there before, or has missed some.
// The endpoints that are left tell nothing of those that left.
func (h *History) Only(now time.Time, service string) (version string, known bool) {
	s := h.services[service]
	if s == nil || len(s.lastSeen) != 1 || h.Missed(now) {
		return "", false
	}
	if now.Sub(s.since) < Retention && (h.noted == nil || h.noted[service]) {
		return "", false
	}
	for version = range s.lastSeen {
		return version, true
	}
	return "", false
}
