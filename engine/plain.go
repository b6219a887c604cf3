package engine

import (
	"context"
	"net/http"
)

// Plain is an endpoint of a plain service.
type Plain interface {
	// Call sends req and returns the endpoint's answer. Errors are ErrRefused,
	// ErrLeaving and ErrUnreachable, after which nothing ran, and ErrBroken.
	Call(ctx context.Context, req *http.Request) (*http.Response, error)
}
