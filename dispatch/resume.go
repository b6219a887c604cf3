package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/platform"
)

// reportLocation passes the location of a stream to the call's OnStream function.
func (x *execution) reportLocation(endpoint, streamID string) {
	if x.call.OnStream != nil {
		x.call.OnStream(Location{Endpoint: endpoint, StreamID: streamID})
	}
}

// Resume reads a stream that an endpoint still holds, again from its first token.
// It starts no new work: the stream was admitted before. The error is an *Error
// whose run state is Unknown, as the stream may have run even if it is not found.
func (d *Dispatcher) Resume(ctx context.Context, c *Call, at Location, sink Sink) (Result, error) {
	x := newExecution(d, c, sink)
	x.tokens = nil
	endpoint, found := d.opts.View().ByName(at.Endpoint)
	if !found || endpoint.Role != platform.RoleEngine {
		return Result{}, &Error{Cause: ErrNoEndpoint, RunState: Unknown}
	}
	d.record("resumed", c.RequestID, c.Job, at.Endpoint, at.StreamID)
	ctx, cancel := context.WithCancel(detour.WithRequest(ctx, c.RequestID))
	a := &attempt{exec: x, id: at.StreamID, host: endpoint, started: time.Now(), cancel: cancel, ticket: x.registerTicket(at)}
	d.router.recordSent(x.pool, endpoint.Name, c.Class, "")
	if g := x.guard(); g != nil {
		g.Started(x.fingerprint, endpoint.Name, endpoint.Incarnation)
	}
	defer a.end(false)
	stream, err := engine.NewHTTPEngine(endpoint.Address, d.opts.client(c.Class)).Resume(ctx, at.StreamID, 0)
	if err != nil {
		return Result{}, resumeError(ctx, err)
	}
	a.stream = stream
	x.reportLocation(at.Endpoint, at.StreamID)
	frame, err := stream.Next()
	finish, err := x.forwardTokens(a, openResult{attempt: a, frame: frame, err: err})
	if err != nil {
		return Result{}, resumeError(ctx, err)
	}
	return Result{Finish: finish, Tokens: len(x.tokens), Endpoint: at.Endpoint}, nil
}

// registerTicket registers a stream that is already running with its endpoint's
// home, so that the home counts its slot.
func (x *execution) registerTicket(at Location) *admission.Ticket {
	if !x.d.usesTickets() {
		return nil
	}
	req := x.tickets.req
	req.Ticket = at.StreamID
	req.Endpoint = at.Endpoint
	req.Revocable = false
	return x.d.opts.Tickets.AcquireWithoutWait(&req)
}

func resumeError(ctx context.Context, err error) *Error {
	if ctx.Err() != nil {
		return &Error{Cause: ErrDeadline, RunState: Unknown}
	}
	return &Error{Cause: errors.Wrap(ErrInterrupted, err.Error()), RunState: Unknown}
}
