package endpoint

import "time"

// State is the state that an endpoint reports of itself.
type State int

// States of an endpoint.
const (
	// Ready endpoints accept new work.
	Ready State = iota
	// Draining endpoints finish their work in progress and shut down.
	Draining
)

// Endpoint is one incarnation of a process that answers requests.
type Endpoint struct {
	// ID identifies the endpoint. After a restart it is usually a new one, but may be
	// the same.
	ID      string
	Service string
	// Address is an IP address and port. It may be reused by another endpoint.
	Address string
	// Zone is the endpoint's availability zone.
	Zone string
	// Version is the version of the endpoint's software.
	Version string
	// Slots is how many requests it runs concurrently.
	Slots int
	// Engine means that it is an inference engine, and not a plain service.
	Engine bool
	State  State
	// Started is the start time by the endpoint's own clock. It distinguishes
	// incarnations with the same ID.
	Started time.Time
}

// Incarnation returns the identity of this run of the endpoint.
func (e *Endpoint) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, Started: e.Started}
}

// equal reports whether two records of an endpoint have the same content.
func (e *Endpoint) equal(o *Endpoint) bool {
	return *e == *o
}
