package routing

import (
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// Query describes a call that needs an endpoint.
type Query struct {
	Class objects.Class
	// Prompt is used to find the endpoint that likely caches its prefix.
	Prompt  string
	Adapter string
	// Zones restricts the choice to endpoints in these zones; empty means any zone.
	Zones []string
	// Exclude lists the names of endpoints that must not be chosen.
	Exclude []string
	// SoftwareVersion is the version of the software that the endpoint must have; nil means
	// any.
	SoftwareVersion *string
	// Usable reports whether an endpoint may be chosen now; nil means all may.
	Usable func(endpoint string) bool
}

// Choice is the result of a Query.
type Choice struct {
	Host platform.Host
	// Headroom means that, by a recent report, the endpoint has enough free slots to
	// start the call before its ticket is granted.
	Headroom bool
	// PrefixCached means that the endpoint was chosen because it likely caches the
	// prompt's prefix.
	PrefixCached bool
}

func (q *Query) allows(n *node) bool {
	for _, name := range q.Exclude {
		if name == n.host.Name {
			return false
		}
	}
	if q.SoftwareVersion != nil && *q.SoftwareVersion != n.host.SoftwareVersion {
		return false
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
