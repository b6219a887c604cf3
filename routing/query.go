package routing

import (
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// Query is a call to find an endpoint for.
type Query struct {
	Class objects.Class
	// Prompt decides which endpoint likely caches its prefix.
	Prompt  string
	Adapter string
	// Zones restricts the endpoints; empty means any.
	Zones []string
	// Exclude names endpoints that must not be chosen.
	Exclude []string
	// Usable reports whether an endpoint can be asked for now; nil means all can.
	Usable func(endpoint string) bool
}

// Choice is the endpoint chosen.
type Choice struct {
	Host platform.Host
	// Headroom tells that the last report shows free slots enough to start
	// without waiting for a ticket.
	Headroom bool
	// Cached tells that the endpoint likely caches the prompt's prefix.
	Cached bool
}

func (q *Query) allows(n *node) bool {
	for _, name := range q.Exclude {
		if name == n.host.Name {
			return false
		}
	}
	if q.Usable != nil && !q.Usable(n.host.Name) {
		return false
	}
	if len(q.Zones) == 0 {
		return true
	}
	for _, zone := range q.Zones {
		if zone == n.host.Zone {
			return true
		}
	}
	return false
}
