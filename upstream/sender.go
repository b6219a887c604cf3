package upstream

import "context"

// Sender sends calls to endpoints. Pool is one.
type Sender interface {
	// Send sends a call to the endpoint with an id, which has an address, and returns the
	// response, which the caller must close. Errors are those of this package.
	Send(ctx context.Context, id, address string, call *Call) (*Response, error)
}
