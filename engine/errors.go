package engine

import "github.com/pkg/errors"

// Errors of an endpoint, compared as values with errors.Is.
var (
	// ErrRefused means the endpoint refused a request before admitting it: no
	// work was done.
	ErrRefused = errors.New("endpoint refused the request")
	// ErrLeaving means the endpoint refused a request because it is leaving.
	ErrLeaving = errors.New("endpoint is leaving")
	// ErrUnreachable means no byte of the request reached the endpoint.
	ErrUnreachable = errors.New("endpoint is unreachable")
	// ErrBroken means the stream broke after the request was sent: the
	// endpoint may have worked on it.
	ErrBroken = errors.New("stream to endpoint broke")
	// ErrBadFrame means a frame was foreign, repeated, out of order or
	// malformed.
	ErrBadFrame = errors.New("unexpected frame")
	// ErrStaleFencing means an order carried an old fencing number.
	ErrStaleFencing = errors.New("fencing number is stale")
	// ErrCanceled means the stream was cancelled at the endpoint.
	ErrCanceled = errors.New("stream was cancelled at the endpoint")
)
