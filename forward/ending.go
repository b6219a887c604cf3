package forward

import (
	"context"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/disconnect"
	"github.com/peridotmount/peridotmount/upstream"
)

// ending is why a request ended without a complete response. Its value appears in the log
// and the metrics. Ends of the client's connection have the values of disconnect.Cause.
type ending string

const (
	// endpointCut means that the endpoint's response ended early, after its head had been
	// passed on.
	endpointCut ending = "endpoint_cut"
	// streamNotResumed means that a stream broke off and was not resumed.
	streamNotResumed ending = "stream_not_resumed"
	// deadlinePassed means that the deadline passed while the response was passed on.
	deadlinePassed ending = "deadline_passed"
	// hostShutDown means that the host had no more time to shut down.
	hostShutDown ending = "host_shut_down"
)

// phase is how far a request was when it ended without a complete response.
type phase string

const (
	// readingBody requests had not been read whole.
	readingBody phase = "body"
	// awaitingResponse requests had been read whole, and got nothing of a response.
	awaitingResponse phase = "waiting"
	// passingResponse requests got a part of their response.
	passingResponse phase = "response"
)

// disconnected returns the ending of a request whose context was cancelled: why the
// connection of its client ended. A connection that is not tracked was closed by the client.
func disconnected(ctx context.Context) ending {
	if cause := disconnect.CauseIn(ctx); cause != disconnect.None {
		return ending(cause)
	}
	return ending(disconnect.ClientClosed)
}

// clientLeft reports whether the context of a client's request was cancelled because its
// connection ended. net/http cancels it too if the wait for a body is interrupted, as it is once
// the host has no more time.
func (f *Forwarder) clientLeft(ctx context.Context) bool {
	return ctx.Err() != nil && (f.closing.Err() == nil || disconnect.CauseIn(ctx) != disconnect.None)
}

// unlessShutDown returns why a request ended that was not ended by its client, its endpoint or its
// deadline: for want of time if the host has none, otherwise as given.
func (f *Forwarder) unlessShutDown(otherwise ending) ending {
	if f.closing.Err() != nil {
		return hostShutDown
	}
	return otherwise
}

// interrupted returns the ending of a request whose response ended early with err. The
// contexts are that of the client's request and that with its deadline, which ends with the
// host's time too: the endpoint's connection is closed by that, and err says no more than that.
func interrupted(client, request context.Context, err error, otherwise ending) ending {
	switch {
	case client.Err() != nil || disconnect.CauseIn(client) != disconnect.None:
		return disconnected(client)
	case errors.Is(request.Err(), context.DeadlineExceeded):
		return deadlinePassed
	case request.Err() != nil:
		return otherwise
	case errors.Is(err, upstream.ErrTruncated):
		return endpointCut
	default:
		return otherwise
	}
}
