package scheduler

import "time"

// ticket is a slot in use.
type ticket struct {
	id       string
	host     string
	class    Class
	endpoint *endpointState
	since    time.Time
	tokens   int
	// item is the batch item, or nil for an online request.
	item *openItem
	// revoked means that the host was sent a Revoke: it stops the item and releases the
	// slot.
	revoked bool
	// presumedDone is when the slot of a request that its host may have lost is released; zero
	// for others.
	presumedDone time.Time
}
