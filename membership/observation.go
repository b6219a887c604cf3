package membership

import "github.com/peridotmount/peridotmount/gossip"

// KindObservation is the kind of gossip entries that hold an Observation.
const KindObservation gossip.Kind = "observation"

// Condition is what a host saw of an endpoint.
type Condition string

// Conditions of an endpoint.
const (
	// Alive means the endpoint answered.
	Alive Condition = "alive"
	// Leaving means the endpoint refused a request because it is leaving.
	Leaving Condition = "leaving"
	// Dead means the endpoint could not be reached.
	Dead Condition = "dead"
)

// Observation is what a host saw of one run of an endpoint.
type Observation struct {
	Endpoint    string    `json:"endpoint"`
	Incarnation int64     `json:"incarnation"`
	Condition   Condition `json:"condition"`
}
