package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/routing"
)

// PlainCall is one call to a plain service.
type PlainCall struct {
	RequestID string
	Customer  *objects.Customer
	Service   *objects.Service
	Class     objects.Class
	// Request is sent to the endpoint; GetBody must be set if there is a body, as each
	// attempt reads the body anew.
	Request *http.Request
}

// Plain sends a call to a plain service. The error is an *Error. The caller must
// close the response's body; the endpoint's slot is held until then.
func (d *Dispatcher) Plain(ctx context.Context, c *PlainCall) (*http.Response, error) {
	x := &plainExecution{d: d, call: c, tickets: newTicketRequester(d, c.RequestID, c.Customer, c.Class), runState: NotRun}
	x.tickets.req.ExpectedTokens = 1
	d.retries.deposit(c.Service.Name)
	return x.run(ctx)
}

// plainExecution is the state of one plain call across all its attempts.
type plainExecution struct {
	d           *Dispatcher
	call        *PlainCall
	tickets     *ticketRequester
	fingerprint Fingerprint
	tried       []string
	failures    int
	runState    RunState
}

func (x *plainExecution) run(ctx context.Context) (*http.Response, error) {
	for {
		// Checked before each attempt: when an endpoint dies, the requests that it
		// ran become suspects, so the verdict may have changed.
		if err := x.checkGuard(); err != nil {
			return nil, err
		}
		choice, found := x.choose()
		if !found {
			if x.failures > 0 || !x.tickets.retryAll(ctx) {
				return nil, x.tickets.exhaustedError(ctx, x.runState)
			}
			x.tried = nil
			continue
		}
		resp, err := x.tryEndpoint(ctx, &choice)
		if err == nil {
			return resp, nil
		}
		if final := x.finalError(ctx, err); final != nil {
			return nil, final
		}
	}
}

func (x *plainExecution) choose() (routing.Choice, bool) {
	if x.failures >= maxFailures {
		return routing.Choice{}, false
	}
	q := &routing.Query{Class: x.call.Class, Zones: x.call.Service.Zones, Exclude: x.tried}
	if !x.tickets.skipWait {
		q.Usable = x.d.reachable(x.call.Class)
	}
	return x.d.choose(x.call.Service.Name, q)
}

func (x *plainExecution) tryEndpoint(ctx context.Context, choice *routing.Choice) (*http.Response, error) {
	name := choice.Host.Name
	x.tried = append(x.tried, name)
	ticket, err := x.tickets.acquire(ctx, x.tickets.nextID(), choice)
	if err != nil {
		x.d.record("no-ticket", x.call.RequestID, "", name, err.Error())
		return nil, err
	}
	slot := &plainSlot{exec: x, choice: choice, ticket: ticket, started: time.Now()}
	slot.start()
	resp, err := x.send(ctx, choice.Host.Address)
	if err != nil {
		x.d.record("plain-call", x.call.RequestID, "", name, err.Error())
		if errors.Is(err, engine.ErrBroken) {
			x.d.suspectLinks()
		}
		died := x.d.opts.Guard != nil && errors.Is(err, engine.ErrBroken) && ctx.Err() == nil && x.d.hasDied(ctx, &choice.Host)
		if died {
			x.d.opts.Guard.Crashed(x.fingerprint, nil, name, choice.Host.Incarnation)
		}
		slot.end(died)
		x.d.observe(&choice.Host, err)
		return nil, err
	}
	x.d.record("plain-call", x.call.RequestID, "", name, "")
	if g := x.d.opts.Guard; g != nil {
		g.Answered(x.fingerprint, choice.Host.Name, choice.Host.Incarnation)
	}
	resp.Body = &slotBody{ReadCloser: resp.Body, slot: slot}
	return resp, nil
}

func (x *plainExecution) send(ctx context.Context, address string) (*http.Response, error) {
	req := x.call.Request.Clone(detour.WithRequest(ctx, x.call.RequestID))
	if x.call.Request.GetBody != nil {
		body, err := x.call.Request.GetBody()
		if err != nil {
			return nil, errors.Wrap(engine.ErrUnreachable, err.Error())
		}
		req.Body = body
	}
	return engine.NewHTTPPlain(address, x.d.opts.client(x.call.Class)).Call(ctx, req)
}

// finalError returns the error that ends the call, or nil if another attempt is
// allowed.
func (x *plainExecution) finalError(ctx context.Context, err error) error {
	if errors.Is(err, engine.ErrBroken) {
		x.runState = Unknown
	}
	switch {
	case ended(ctx):
		return &Error{Cause: ErrDeadline, RunState: x.runState, RetryAfter: x.tickets.retryAfter}
	case x.runState == Unknown && !x.call.Service.Idempotent:
		return &Error{Cause: errors.Wrap(ErrInterrupted, err.Error()), RunState: Unknown}
	case errors.Is(err, admission.ErrHomeUnreachable):
		x.tickets.homeUnresponsive = true
		return nil
	case errors.Is(err, admission.ErrRefused):
		if x.tickets.limitReached() {
			return x.tickets.exhaustedError(ctx, x.runState)
		}
		return nil
	default:
		x.failures++
		return x.tickets.chargeRetry(x.call.Service.Name, x.tried[len(x.tried)-1], x.runState, err)
	}
}

// checkGuard applies the Guard's verdict to the call. It returns an error if the call
// must not run. If the call must run alone, it has its tickets requested for endpoints
// that run nothing else.
func (x *plainExecution) checkGuard() error {
	if x.d.opts.Guard == nil {
		return nil
	}
	x.fingerprint = FingerprintOf(x.call.Customer.Name, x.call.Service.Name, x.content())
	switch x.d.opts.Guard.Check(x.fingerprint, nil) {
	case Quarantined:
		return &Error{Cause: ErrQuarantined, RunState: NotRun}
	case Exclusive:
		x.tickets.req.Exclusive = true
	}
	return nil
}

// content returns what identifies the call for its fingerprint: method, URL and
// body.
func (x *plainExecution) content() string {
	r := x.call.Request
	content := r.Method + " " + r.URL.String() + "\x00"
	if r.GetBody == nil {
		return content
	}
	body, err := r.GetBody()
	if err != nil {
		return content
	}
	defer func() { _ = body.Close() }()
	data, _ := io.ReadAll(body)
	return content + string(data)
}
