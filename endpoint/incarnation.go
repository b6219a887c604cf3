package endpoint

import "time"

// Incarnation identifies one run of an endpoint. Hosts exchange it.
type Incarnation struct {
	// ID is the endpoint's id, which may be the same after a restart.
	ID string `json:"id"`
	// Started is the start time by the endpoint's own clock.
	Started time.Time `json:"started"`
}
