package scheduler

import "time"

// Effect is what a host has to be told.
type Effect interface {
	// To is the host.
	To() string
}

// Grant gives a slot to an ask.
type Grant struct {
	Host     string `json:"-"`
	Ticket   string `json:"ticket"`
	Endpoint string `json:"endpoint"`
	// Waited is how long the ask waited here.
	Waited time.Duration `json:"waited"`
}

// Refuse turns an ask away.
type Refuse struct {
	Host       string        `json:"-"`
	Ticket     string        `json:"ticket"`
	Reason     Reason        `json:"reason"`
	RetryAfter time.Duration `json:"retry_after"`
	Load       Load          `json:"load"`
}

// Revoke takes a slot back from a batch item.
type Revoke struct {
	Host   string `json:"-"`
	Ticket string `json:"ticket"`
}

// Start makes a host run a batch item.
type Start struct {
	Host     string  `json:"-"`
	Ticket   string  `json:"ticket"`
	Endpoint string  `json:"endpoint"`
	Item     ItemRef `json:"item"`
}

// To implements Effect.
func (g Grant) To() string { return g.Host }

// To implements Effect.
func (r Refuse) To() string { return r.Host }

// To implements Effect.
func (r Revoke) To() string { return r.Host }

// To implements Effect.
func (s Start) To() string { return s.Host }

// Reason says why an ask was turned away.
type Reason string

// Reasons of refusals.
const (
	// ReasonNoEndpoint means that the service has no endpoint that can be used.
	ReasonNoEndpoint Reason = "no endpoint is ready"
	// ReasonOverload means that the expected wait exceeds the objective.
	ReasonOverload Reason = "the wait would exceed the objective"
	// ReasonDeadline means that the deadline leaves no time for an answer.
	ReasonDeadline Reason = "the deadline leaves no time"
	// ReasonWithdrawn means that the host took the ask back.
	ReasonWithdrawn Reason = "withdrawn"
)
