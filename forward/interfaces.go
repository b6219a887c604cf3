package forward

import (
	"context"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
)

// Configuration gives access to the routing configuration.
type Configuration interface {
	// Current returns the configuration in force, or nil if none is known yet.
	Current() *route.Configuration
	// Confirm returns nil once the current configuration is known to be the newest one,
	// and an error if that can't be established.
	Confirm(ctx context.Context) error
	// Confirmed returns when the last read was sent, by package clock, that confirmed that the
	// configuration in force at the return is the newest one, zero if none has; and whether
	// another such read is likely to succeed.
	Confirmed() (sent time.Time, reachable bool)
}

// Placer chooses the endpoint for a request, and blocks until one has capacity.
type Placer interface {
	// Place returns a Placement, or a *Rejection as the error.
	Place(ctx context.Context, request *PlacementRequest) (Placement, error)
}

// Placement is capacity reserved at an endpoint, held until Release.
type Placement interface {
	// Endpoint returns the endpoint that the request is to be sent to.
	Endpoint() *endpoint.Endpoint
	// ReportStalled is called when the endpoint has sent nothing for longer than slow
	// endpoints usually take.
	ReportStalled()
	// ReportResponding is called once the endpoint has sent respondingEvents events of a
	// stream, so that the request can't be one that crashes endpoints as they begin to
	// answer it.
	ReportResponding()
	// Release returns the placement and reports how it was used.
	Release(usage Usage)
}

// Chosen is a placement that tells for the log what its endpoint was chosen by.
type Chosen interface {
	// Choice returns the terms of the choice, or "".
	Choice() string
}

// PlacementRequest requests a placement.
type PlacementRequest struct {
	// Request is the request id that the client set.
	Request string
	Service string
	Route   *route.Route
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Left is the time until the request's deadline.
	Left time.Duration
	// PromptTokens, ExpectedTokens and Prefix are set if the request generates tokens.
	PromptTokens   int
	ExpectedTokens int
	Prefix         []string
	// PrefixTokens are the tokens of the parts of Prefix.
	PrefixTokens []int
	// Workspace is the workspace whose key the request carries, nil without one, by the
	// configuration of ConfigVersion.
	Workspace     *route.Workspace
	ConfigVersion int64
	// Charged means that an earlier placement has charged the request to its workspace's quota.
	Charged bool
	// Repeatable means that the request may run again if this attempt fails.
	Repeatable bool
	// Fingerprint is the same for all of a client's retries of one request.
	Fingerprint string
	// Resumes is the request that brought the first event of the stream that this one goes on
	// with, or "".
	Resumes string
	// Version is the version of the software that began the stream; nil if it is not known, or
	// no event has arrived.
	Version *string
	// Avoid lists the endpoints at which the request was attempted already.
	Avoid []string
}

// SharedParts returns the parts of the prompt that other requests may share: all but the
// last.
func (r *PlacementRequest) SharedParts() []string {
	return sharedParts(r.Prefix)
}

// Priority returns the priority of the request, 0 being the highest.
func (r *PlacementRequest) Priority() int {
	if r.Workspace != nil && r.Workspace.Priority != nil {
		return *r.Workspace.Priority
	}
	return r.Route.Priority
}

// Usage reports how a placement was used.
type Usage struct {
	// Outcome is how the attempt at the endpoint ended.
	Outcome Outcome
	// TimeToFirstByte is the time until the head of the response arrived; zero if none did.
	TimeToFirstByte time.Duration
	// Events is the number of complete events of a stream that arrived, Responding whether
	// ReportResponding was called.
	Events     int
	Responding bool
	// FirstEvent is the time until the first of them, Generating the time from the first to the
	// last; zero without events.
	FirstEvent, Generating time.Duration
	// Took is the time of the whole attempt.
	Took time.Duration
	// ServerError is set if the endpoint ran the request and responded with a status of 500 or
	// above.
	ServerError bool
	// Reusable is set if the connection to the endpoint was returned to the pool.
	Reusable bool
}
