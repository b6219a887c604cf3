package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/routing"
)

// PlainCall is one call of a plain service to carry out.
type PlainCall struct {
	RequestID string
	Customer  *objects.Customer
	Service   *objects.Service
	Class     objects.Class
	// Request is what the endpoint is sent; GetBody must be set.
	Request *http.Request
}

// Plain carries out a call of a plain service. The error is an *Error. The
// answer's body must be closed; the endpoint's slot is held until then.
func (d *Dispatcher) Plain(ctx context.Context, c *PlainCall) (*http.Response, error) {
	a := &plainAttempt{d: d, call: c, want: newWant(d, c.RequestID, c.Customer, c.Class), state: NotRun}
	a.want.req.ExpectedTokens = 1
	d.retries.deposit(c.Service.Name)
	return a.run(ctx)
}

// plainAttempt is the progress of one plain call over its endpoints.
type plainAttempt struct {
	d           *Dispatcher
	call        *PlainCall
	want        *want
	fingerprint Fingerprint
	tried       []string
	tries       int
	state       RunState
}

func (a *plainAttempt) run(ctx context.Context) (*http.Response, error) {
	for {
		// An endpoint's death makes suspects between two tries.
		if err := a.guard(); err != nil {
			return nil, err
		}
		choice, found := a.choose()
		if !found {
			if a.tries > 0 || !a.want.again(ctx) {
				return nil, a.want.exhausted(ctx, a.state)
			}
			a.tried = nil
			continue
		}
		resp, err := a.try(ctx, &choice)
		if err == nil {
			return resp, nil
		}
		if final := a.final(ctx, err); final != nil {
			return nil, final
		}
	}
}

func (a *plainAttempt) choose() (routing.Choice, bool) {
	if a.tries >= maxTries {
		return routing.Choice{}, false
	}
	q := &routing.Query{Class: a.call.Class, Zones: a.call.Service.Zones, Exclude: a.tried}
	if !a.want.unasked {
		q.Usable = a.d.reachable(a.call.Class)
	}
	return a.d.choose(a.call.Service.Name, q)
}

func (a *plainAttempt) try(ctx context.Context, choice *routing.Choice) (*http.Response, error) {
	name := choice.Host.Name
	a.tried = append(a.tried, name)
	ticket, err := a.want.get(ctx, a.want.nextID(), choice)
	if err != nil {
		a.d.record("no-ticket", a.call.RequestID, "", name, err.Error())
		return nil, err
	}
	hold := &plainHold{a: a, choice: choice, ticket: ticket, begun: time.Now()}
	hold.start()
	resp, err := a.send(ctx, choice.Host.Address)
	if err != nil {
		a.d.record("plain-call", a.call.RequestID, "", name, err.Error())
		died := a.d.opts.Guard != nil && errors.Is(err, engine.ErrBroken) && ctx.Err() == nil && !listens(ctx, choice.Host.Address)
		hold.end(died)
		a.d.observe(&choice.Host, err)
		return nil, err
	}
	a.d.record("plain-call", a.call.RequestID, "", name, "")
	if g := a.d.opts.Guard; g != nil {
		g.Answered(a.fingerprint, choice.Host.Name, choice.Host.Incarnation)
	}
	resp.Body = &heldBody{ReadCloser: resp.Body, hold: hold}
	return resp, nil
}

func (a *plainAttempt) send(ctx context.Context, address string) (*http.Response, error) {
	req := a.call.Request.Clone(ctx)
	if a.call.Request.GetBody != nil {
		body, err := a.call.Request.GetBody()
		if err != nil {
			return nil, errors.Wrap(engine.ErrUnreachable, err.Error())
		}
		req.Body = body
	}
	return engine.NewHTTPPlain(address, a.d.opts.client(a.call.Class)).Call(ctx, req)
}

func (a *plainAttempt) final(ctx context.Context, err error) error {
	if errors.Is(err, engine.ErrBroken) {
		a.state = Unknown
	}
	switch {
	case ctx.Err() != nil:
		return &Error{Cause: ErrDeadline, RunState: a.state, RetryAfter: a.want.retryAfter}
	case a.state == Unknown && !a.call.Service.Idempotent:
		return &Error{Cause: errors.Wrap(ErrInterrupted, err.Error()), RunState: Unknown}
	case errors.Is(err, admission.ErrSilent):
		a.want.silent = true
		return nil
	case errors.Is(err, admission.ErrRefused):
		if a.want.over() {
			return a.want.exhausted(ctx, a.state)
		}
		return nil
	default:
		a.tries++
		return a.want.afterFailure(a.call.Service.Name, a.tried[len(a.tried)-1], a.state, err)
	}
}

// guard asks the Guard what may be done with the call.
func (a *plainAttempt) guard() error {
	if a.d.opts.Guard == nil {
		return nil
	}
	a.fingerprint = FingerprintOf(a.call.Customer.Name, a.call.Service.Name, a.content())
	switch a.d.opts.Guard.Check(a.fingerprint) {
	case Convicted:
		return &Error{Cause: ErrQuarantined, RunState: NotRun}
	case Alone:
		a.want.req.Alone = true
	}
	return nil
}

// content is what the call asks for: its method, path and body.
func (a *plainAttempt) content() string {
	r := a.call.Request
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
