package slots

import (
	"time"

	"github.com/peridotmount/peridotmount/peers"
)

// Directory lists the hosts; peers.Directory implements it.
type Directory interface {
	// Hosts returns the hosts of the system in order of precedence as scheduler.
	Hosts() []peers.Host
	// Beat returns when the newest record of a host was read; zero if none was read.
	Beat(name string) time.Time
	// Touch records that hosts are alive.
	Touch(names ...string)
}
