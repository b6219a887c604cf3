package slots

import (
	"time"

	"github.com/peridotmount/peridotmount/peers"
)

// Directory lists the hosts; peers.Directory implements it.
type Directory interface {
	// Hosts returns the hosts of the system in order of precedence as scheduler.
	Hosts() []peers.Host
	// LastRecordRead returns when the newest record of a host was read; zero if none was
	// read.
	LastRecordRead(name string) time.Time
	// MarkAlive records that hosts are alive.
	MarkAlive(names ...string)
}
