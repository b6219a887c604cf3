package scheduler

import (
	"time"

	"github.com/peridotmount/peridotmount/quota"
)

// Effect is a decision to send to a host.
type Effect interface {
	// To returns the name of the host.
	To() string
}

// Grant assigns a slot to a SlotRequest.
type Grant struct {
	Host     string `json:"-"`
	Ticket   string `json:"ticket"`
	Endpoint string `json:"endpoint"`
	// Waited is how long the SlotRequest waited in the scheduler's queue.
	Waited time.Duration `json:"waited"`
	// Version is the software version of the endpoint, as the scheduler knows it.
	Version string `json:"version,omitempty"`
	// Service is the service of the request, and Choice what was expected of the endpoint; nil
	// without Options.WeighWaits.
	Service string  `json:"-"`
	Choice  *Choice `json:"choice,omitempty"`
}

// Refuse rejects a SlotRequest.
type Refuse struct {
	Host       string        `json:"-"`
	Ticket     string        `json:"ticket"`
	Reason     Reason        `json:"reason"`
	RetryAfter time.Duration `json:"retry_after"`
	Load       Load          `json:"load"`
	// Quota tells of the workspace's quota, if that is the reason.
	Quota *quota.Refusal `json:"quota,omitempty"`
}

// Revoke preempts a batch item: its host has to release the slot.
type Revoke struct {
	Host   string `json:"-"`
	Ticket string `json:"ticket"`
}

// Start assigns a slot to a batch item, to be run by a host.
type Start struct {
	Host     string  `json:"-"`
	Ticket   string  `json:"ticket"`
	Endpoint string  `json:"endpoint"`
	Item     ItemRef `json:"item"`
	// Version is the software version of the endpoint, as the scheduler knows it.
	Version string `json:"version,omitempty"`
}

// To implements Effect.
func (g Grant) To() string { return g.Host }

// To implements Effect.
func (r Refuse) To() string { return r.Host }

// To implements Effect.
func (r Revoke) To() string { return r.Host }

// To implements Effect.
func (s Start) To() string { return s.Host }

// Reason is the reason for refusing a SlotRequest.
type Reason string

// Reasons for refusals.
const (
	// ReasonNoEndpoint means that the service has no usable endpoint.
	ReasonNoEndpoint Reason = "no endpoint is ready"
	// ReasonUnread means that the host has not read the record of any usable endpoint yet.
	ReasonUnread Reason = "the host has not read the endpoints' records yet"
	// ReasonOverload means that the first event is expected after the objective.
	ReasonOverload Reason = "the wait would exceed the objective"
	// ReasonDeadline means that the deadline would pass before the first event.
	ReasonDeadline Reason = "the deadline leaves no time"
	// ReasonConvicted means that requests like this one crash endpoints.
	ReasonConvicted Reason = "requests like it crash endpoints"
	// ReasonUnknownVersion means that the request goes on with a stream, and that it is not
	// known which software version began it.
	ReasonUnknownVersion Reason = "it is not known which version began the stream"
	// ReasonNoVersion means that no endpoint has the software version that began the stream.
	ReasonNoVersion Reason = "no endpoint has the version that began the stream"
	// ReasonQuota means that the workspace of the request is at its quota.
	ReasonQuota Reason = "the quota of the workspace is used up"
	// ReasonNoPermit means that the scheduler did not tell whether the workspace is within its
	// quota.
	ReasonNoPermit Reason = "the quota of the workspace could not be checked"
	// ReasonWithdrawn means that the host withdrew the SlotRequest.
	ReasonWithdrawn Reason = "withdrawn"
)
