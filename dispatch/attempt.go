package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/routing"
	"github.com/peridotmount/peridotmount/timeline"
)

// execution is the state of one call across all its attempts at endpoints.
type execution struct {
	d           *Dispatcher
	call        *Call
	sink        Sink
	pool        string
	tickets     *ticketRequester
	fingerprint Fingerprint
	tokens      []string
	// version is the software version of the endpoint that generated the first token of this
	// dispatch, as only that version can go on; nil before it.
	version     *string
	tried       []string
	failures    int
	revocations int
	// excludedByRevocation means that tried excludes an endpoint only because the
	// call's ticket was revoked there.
	excludedByRevocation bool
	// mayHaveRun means that part of the call may have reached an endpoint that did
	// not refuse it.
	mayHaveRun bool
	// endpointsDied means that an endpoint died while it ran the call.
	endpointsDied bool
	sinkErr       error
}

func newExecution(d *Dispatcher, c *Call, sink Sink) *execution {
	x := &execution{
		d:       d,
		call:    c,
		sink:    sink,
		tickets: newTicketRequester(d, c.RequestID, c.Customer, c.Class),
		tokens:  append([]string(nil), c.Prior...),
	}
	x.tickets.req.PromptTokens = completion.PromptTokens(c.Prompt)
	x.tickets.req.AtRisk = c.AtRisk
	x.tickets.req.Revocable = c.Class == objects.ClassBatch && c.Service.Idempotent
	return x
}

// runMarked runs the call and sets Error.EndpointDied if it fails.
func (x *execution) runMarked(ctx context.Context) (Result, error) {
	result, err := x.run(ctx)
	var failure *Error
	if errors.As(err, &failure) {
		failure.EndpointDied = x.endpointsDied
	}
	return result, err
}

func (x *execution) run(ctx context.Context) (Result, error) {
	x.d.retries.deposit(x.call.Service.Name)
	for {
		// Checked before each attempt: when an endpoint dies, the requests that it
		// ran become suspects, so the verdict may have changed.
		if err := x.checkGuard(); err != nil {
			return Result{}, err
		}
		choice, found := x.choose()
		if !found {
			if x.retryRevokedEndpoint() {
				continue
			}
			if x.failures > 0 || !x.tickets.retryAll(ctx) {
				return Result{}, x.tickets.exhaustedError(ctx, x.runState())
			}
			x.tried = nil
			continue
		}
		result, err := x.tryEndpoint(ctx, &choice)
		if err == nil {
			x.d.lengths.observe(x.lengthKey(), len(x.tokens))
			return result, nil
		}
		if final := x.finalError(ctx, err); final != nil {
			return Result{}, final
		}
	}
}

func (x *execution) lengthKey() lengthKey {
	return lengthKey{customer: x.call.Customer.Name, service: x.call.Service.Name}
}

func (x *execution) choose() (routing.Choice, bool) {
	if x.failures >= maxFailures {
		return routing.Choice{}, false
	}
	q := x.query()
	if !x.tickets.skipWait {
		q.Usable = x.d.reachable(x.call.Class)
	}
	return x.d.choose(x.pool, q)
}

func (x *execution) query() *routing.Query {
	return &routing.Query{
		Class:   x.call.Class,
		Prompt:  x.call.Prompt,
		Adapter: x.call.Adapter,
		Zones:   x.call.Service.Zones,
		Exclude: x.tried,

		SoftwareVersion: x.version,
	}
}

// tryEndpoint acquires a ticket for one endpoint and sends the call there.
func (x *execution) tryEndpoint(ctx context.Context, choice *routing.Choice) (Result, error) {
	x.tried = append(x.tried, choice.Host.Name)
	x.tickets.req.PriorTokens = len(x.tokens)
	x.tickets.req.ExpectedTokens = x.expectedTokens()
	x.tickets.req.Revocations = x.revocations
	id := x.tickets.nextID()
	ticket, err := x.tickets.acquire(ctx, id, choice)
	if err != nil {
		x.record("no-ticket", choice.Host.Name, err.Error())
		return Result{}, err
	}
	result := make(chan openResult, 1)
	a := x.launch(ctx, id, choice.Host, ticket, result)
	first := x.awaitFirstFrame(ctx, a, result)
	return x.consume(ctx, first)
}

// expectedTokens estimates how many tokens are still to be generated; at least
// one.
func (x *execution) expectedTokens() int {
	total := x.d.lengths.expected(x.lengthKey(), x.call.MaxTokens)
	return max(total-len(x.tokens), 1)
}

func (x *execution) streamRequest(id string) engine.StreamRequest {
	return engine.StreamRequest{
		StreamID:  id,
		Model:     x.call.Service.Model,
		Version:   x.call.Service.Version,
		Adapter:   x.call.Adapter,
		Prompt:    x.call.Prompt,
		MaxTokens: x.call.MaxTokens,
		Prior:     append([]string(nil), x.tokens...),
		Sampling:  x.call.Sampling,
	}
}

// consume forwards the tokens of the attempt that delivered the first frame, and
// classifies the failure if the stream does not complete.
func (x *execution) consume(ctx context.Context, first openResult) (Result, error) {
	a := first.attempt
	if a.stream != nil {
		x.mayHaveRun = true
		x.reportLocation(a.host.Name, a.id)
	}
	finish, err := x.forwardTokens(a, first)
	if err == nil {
		a.reportAnswered()
		a.end(false)
		x.record("answered", a.host.Name, "")
		return Result{Finish: finish, Tokens: len(x.tokens), Endpoint: a.host.Name}, nil
	}
	revoked := a.revoked() || a.canceledByHome(err)
	lagged := !revoked && a.lag.fired() && x.sinkErr == nil && ctx.Err() == nil
	died := !revoked && !lagged && x.endpointDied(ctx, a, err)
	if died {
		x.endpointsDied = true
		a.reportCrash()
	}
	a.end(died)
	x.d.observe(&a.host, err)
	x.noteFailure(a, err)
	if lagged {
		x.record(timeline.KindMoved, a.host.Name, errLagged.Error())
		return Result{}, errLagged
	}
	if revoked && x.sinkErr == nil && ctx.Err() == nil {
		x.record("revoked", a.host.Name, "")
		return Result{}, ErrRevoked
	}
	return Result{}, err
}

// noteFailure records a failed attempt and whether the endpoint may have run the
// call.
func (x *execution) noteFailure(a *attempt, err error) {
	if a.stream != nil || errors.Is(err, engine.ErrBroken) {
		x.mayHaveRun = true
	}
	if errors.Is(err, engine.ErrBroken) {
		x.d.suspectLinks()
	}
	x.record("failed", a.host.Name, err.Error())
}

func (x *execution) forwardTokens(a *attempt, first openResult) (string, error) {
	f, err := first.frame, first.err
	for {
		if err != nil {
			return "", err
		}
		if f.Finish != "" {
			return string(f.Finish), nil
		}
		a.tokenReceived()
		if a.tokens == respondingTokens {
			a.reportResponding()
		}
		if x.version == nil {
			x.version = &a.host.SoftwareVersion
		}
		x.tokens = append(x.tokens, f.Token)
		if err := x.sink(f.Offset, f.Token); err != nil {
			x.sinkErr = err
			return "", err
		}
		f, err = a.stream.Next()
	}
}

// finalError returns the error that ends the call, or nil if another attempt is
// allowed.
func (x *execution) finalError(ctx context.Context, err error) error {
	switch {
	case x.sinkErr != nil:
		return &Error{Cause: x.sinkErr, RunState: Unknown}
	case ended(ctx):
		return &Error{Cause: ErrDeadline, RunState: x.runState(), RetryAfter: x.tickets.retryAfter}
	case x.mayHaveRun && !x.call.Service.Idempotent:
		return &Error{Cause: errors.Wrap(ErrInterrupted, err.Error()), RunState: Unknown}
	case errors.Is(err, ErrRevoked):
		return x.afterRevocation()
	case errors.Is(err, errLagged):
		x.d.metrics.moves.Inc()
		x.tickets.queueStart = time.Now()
		return nil
	case errors.Is(err, admission.ErrHomeUnreachable):
		x.tickets.homeUnresponsive = true
		return nil
	case errors.Is(err, admission.ErrRefused):
		if x.tickets.limitReached() {
			return x.tickets.exhaustedError(ctx, x.runState())
		}
		return nil
	default:
		x.failures++
		return x.tickets.chargeRetry(x.call.Service.Name, x.tried[len(x.tried)-1], x.runState(), err)
	}
}

// retryRevokedEndpoint lifts the exclusion of the endpoint that revoked the call's
// ticket, since no other endpoint is usable. It reports whether there was such an
// exclusion.
func (x *execution) retryRevokedEndpoint() bool {
	if !x.excludedByRevocation {
		return false
	}
	x.excludedByRevocation = false
	x.tried = nil
	return true
}

func (x *execution) afterRevocation() error {
	x.d.metrics.revocations.Inc()
	x.revocations++
	if x.revocations > maxRevocations {
		return &Error{Cause: ErrRevoked, RunState: Unknown, RetryAfter: retryAfter}
	}
	// Exclude only the endpoint that revoked the ticket; retryRevokedEndpoint allows
	// it again if there is no other.
	x.tried = x.tried[len(x.tried)-1:]
	x.excludedByRevocation = true
	x.tickets.queueStart = time.Now()
	return nil
}

func (x *execution) runState() RunState {
	if x.mayHaveRun || len(x.call.Prior) > 0 {
		return Unknown
	}
	return NotRun
}

func (x *execution) record(kind, endpoint, cause string) {
	x.d.record(kind, x.call.RequestID, x.call.Job, endpoint, cause)
}
