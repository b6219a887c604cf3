package scheduler

import (
	"time"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/promptcache"
)

// waiter is a queued request for a slot.
type waiter struct {
	SlotRequest
	host *member
	// arrived is when the request arrived at its host.
	arrived  time.Time
	deadline time.Time
	// rechecked means that the wait was checked again at earlyRefusalEnd. It isn't
	// checked any more after that.
	rechecked bool
	// late means that the objective has passed: all other requests are served first.
	late bool
	// retry means that the request was refused before: it is served first within its
	// priority and workspace.
	retry bool
	seq   uint64
	// turn is the request's place among the workspaces of its lane.
	turn turn
	// cost is what the request takes of its workspace's turn.
	cost float64
	// chargedAt is when the request was charged to its workspace's quota, if it has a claim.
	chargedAt time.Time
	// keys is what the request may share with others that crash endpoints.
	keys []blame.Key
	// chain is the part of the prompt that others may share; only with Options.WeighWaits.
	chain promptcache.Chain
}

// earlyRefusalEnd returns the end of the time in which the request may be refused for
// an expected long wait.
func (w *waiter) earlyRefusalEnd() time.Time {
	return w.arrived.Add(time.Duration(earlyRefusalShare * float64(w.Objective)))
}
