package membership

import (
	"time"

	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/platform"
)

// KindHeartbeat is the kind of gossip entries that hold a Heartbeat.
const KindHeartbeat gossip.Kind = "heartbeat"

// heartbeatsPerSecond bounds the heartbeats that a host receives: with more
// hosts each sends fewer, so that the bytes a host receives do not grow.
const heartbeatsPerSecond = 25

// Heartbeat is what a host of the system tells of itself.
type Heartbeat struct {
	Name        string             `json:"name"`
	Incarnation int64              `json:"incarnation"`
	State       platform.HostState `json:"state"`
	Zone        string             `json:"zone"`
	Region      string             `json:"region"`
	// Revision is the revision of the configuration in force at the host.
	Revision int64 `json:"revision"`
	// Address and OperatorAddress are those of platform.Host; they may be
	// empty, the host list's are taken then.
	Address         string `json:"address,omitempty"`
	OperatorAddress string `json:"operator_address,omitempty"`
}

// stretch returns d, or more among many hosts.
func stretch(d time.Duration, hosts int) time.Duration {
	if hosts <= heartbeatsPerSecond {
		return d
	}
	return d * time.Duration(hosts) / heartbeatsPerSecond
}
