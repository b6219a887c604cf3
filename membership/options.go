package membership

import "time"

// Options are the times of a Table and the host that it belongs to.
type Options struct {
	// Self is the name of this host.
	Self string
	// HeartbeatTimeout is how long a host counts as live after its last
	// heartbeat; among many hosts it is longer.
	HeartbeatTimeout time.Duration
	// DeadTTL is how long an endpoint is passed over after it was seen dead.
	DeadTTL time.Duration
}

// deadQuorum is how many hosts have to see an endpoint dead before those pass
// it over that did not see it themselves.
const deadQuorum = 2

// memory is how long what is known of a host that is gone is kept.
const memory = time.Hour
