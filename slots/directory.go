package slots

import (
	"time"

	"github.com/peridotmount/peridotmount/peers"
)

// Directory tells which hosts there are; peers.Directory is one.
type Directory interface {
	// Hosts lists the hosts of the system in the order in which they schedule.
	Hosts() []peers.Host
	// Beat returns when the newest record of a host was read, zero if none was.
	Beat(name string) time.Time
	// Touch notes that hosts are alive.
	Touch(names ...string)
}
