package scheduler

import (
	"time"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/promptcache"
)

// ticket is a slot in use.
type ticket struct {
	id       string
	host     string
	class    Class
	endpoint *endpointState
	since    time.Time
	tokens   int
	// request is the client's request id, for the log.
	request string
	// work identifies the work, 0 if unknown; keys are those of a request that may crash
	// endpoints.
	work uint64
	keys []blame.Key
	// trial means that the endpoint was under test when the use began.
	trial bool
	// item is the batch item, or nil for an online request.
	item *openItem
	// revoked means that the host was sent a Revoke: it stops the item and releases the
	// slot.
	revoked bool
	// presumedDone is when the slot of a request that its host may have lost is released; zero
	// for others.
	presumedDone time.Time
	// chain is the part of the prompt that others may share, and estimate what was expected of
	// the placement. They are used only with Options.WeighWaits.
	chain    promptcache.Chain
	estimate estimate
}
