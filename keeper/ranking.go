package keeper

import (
	"sync"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/platform"
)

// ranking orders the live hosts of the system for one partition by rendezvous
// hashing. The order is cached and computed again only when the view changes. It
// is safe for concurrent use.
type ranking struct {
	mu    sync.Mutex
	view  *membership.View
	hosts []platform.Host
}

// ordered returns the live hosts, the preferred leader first.
func (r *ranking) ordered(view *membership.View, stream string) []platform.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if view != r.view {
		r.view = view
		r.hosts = membership.Ranked(stream, view.System())
	}
	return r.hosts
}

// position returns the host's index in the order, from 0, or lease.NoCandidate
// if it is not a live host.
func (r *ranking) position(view *membership.View, stream, host string) int {
	for i, h := range r.ordered(view, stream) {
		if h.Name == host {
			return i
		}
	}
	return lease.NoCandidate
}
