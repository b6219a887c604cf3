package forward

import (
	"context"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
)

// Configuration returns the configuration in force, or nil.
type Configuration interface {
	Current() *route.Configuration
	// Confirm makes sure that the current configuration is the newest one.
	Confirm(ctx context.Context) error
}

// Placer chooses the endpoint of a request, and makes it wait until one has room.
type Placer interface {
	// Place returns a place, or a *Rejection.
	Place(ctx context.Context, ask *Ask) (Place, error)
}

// Place is room at an endpoint, held until Release.
type Place interface {
	Endpoint() *endpoint.Endpoint
	// Stalled reports that the endpoint has been silent for longer than a slow one.
	Stalled()
	Release(use Use)
}

// Ask asks for a place.
type Ask struct {
	// Request is the client's id of the request.
	Request string
	Service string
	Route   *route.Route
	// Elapsed is the time since the request came.
	Elapsed time.Duration
	// Left is the time until its deadline.
	Left time.Duration
	// PromptTokens, ExpectedTokens and Prefix describe a generation.
	PromptTokens   int
	ExpectedTokens int
	Prefix         []string
	// Fingerprint is the same for all attempts of a client at one request.
	Fingerprint string
	// Avoid lists endpoints that were tried.
	Avoid []string
}

// Use is what became of a place.
type Use struct {
	// Outcome is what the endpoint's answer said.
	Outcome Outcome
	// FirstByte is the time until the answer began; zero if it did not.
	FirstByte time.Duration
	// Reusable tells that the connection to the endpoint was kept.
	Reusable bool
}
