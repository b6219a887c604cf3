package dispatch

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/routing"
	"github.com/peridotmount/peridotmount/timeline"
)

const (
	// maxTries bounds the endpoints that fail one call.
	maxTries = 4
	// maxFallbacks bounds the services that stand in for one another.
	maxFallbacks = 4
	// retryAfter is when a call refused for want of endpoints may come back.
	retryAfter = 2 * time.Second
)

// Dispatcher carries calls to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	opts    Options
	router  *router
	retries *budgets
	hedges  *budgets
	lengths *lengths
	metrics *metrics
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	opts.Policy = opts.Policy.withDefaults()
	return &Dispatcher{
		opts:    opts,
		router:  newRouter(opts.View, routing.Options{Zone: opts.Zone, Region: opts.Region, Seed: opts.Seed}),
		retries: newBudgets(opts.Policy.RetryShare, retryBurst),
		hedges:  newBudgets(opts.Policy.HedgeShare, hedgeBurst),
		lengths: newLengths(),
		metrics: newMetrics(opts.Registerer),
	}
}

// Stream carries out a generation and hands each token to sink once. The error
// is an *Error.
//
// A stream that breaks off, or whose ticket is revoked, is resumed at another
// endpoint from the tokens received, if the service is idempotent, until the
// deadline, the retry budget or maxRevocations ends it; only then is the error
// ErrRevoked. If no endpoint can take the call and no token was received, the
// service's fallback takes it.
func (d *Dispatcher) Stream(ctx context.Context, c *Call, sink Sink) (Result, error) {
	if !c.Deadline.IsZero() {
		bounded, cancel := context.WithDeadline(ctx, c.Deadline)
		defer cancel()
		ctx = bounded
	}
	call := *c
	for range maxFallbacks {
		result, err := newAttempt(d, &call, sink).run(ctx)
		fallback := d.fallback(&call, err)
		if fallback == nil {
			return result, err
		}
		call.Service = fallback
		call.Adapter = ""
	}
	return Result{}, &Error{Cause: ErrNoEndpoint, RunState: NotRun, RetryAfter: retryAfter}
}

// fallback returns the service that takes a call over for which no endpoint
// could do any work, or nil.
func (d *Dispatcher) fallback(c *Call, err error) *objects.Service {
	var failure *Error
	if err == nil || c.Service.Fallback == "" || d.opts.Service == nil {
		return nil
	}
	if !errors.As(err, &failure) || failure.RunState != NotRun || !errors.Is(err, ErrNoEndpoint) {
		return nil
	}
	return d.opts.Service(c.Service.Fallback)
}

// choose returns an endpoint of a pool.
func (d *Dispatcher) choose(pool string, q *routing.Query) (routing.Choice, bool) {
	if d.opts.Policy.Baseline {
		return d.router.random(pool, q)
	}
	return d.router.choose(pool, q)
}

// reachable returns the check whether a call of a class can ask an endpoint's
// home; nil means that it need not.
func (d *Dispatcher) reachable(class objects.Class) func(endpoint string) bool {
	if !d.ticketed() || class == objects.ClassUrgent {
		return nil
	}
	return d.opts.Tickets.Reachable
}

// ticketed reports whether calls wait for tickets.
func (d *Dispatcher) ticketed() bool {
	return d.opts.Tickets != nil && !d.opts.Policy.Baseline
}

func (d *Dispatcher) record(kind, request, job, endpoint, cause string) {
	d.opts.Events.Record(timeline.Event{
		Duty:     timeline.DutyDispatch,
		Kind:     kind,
		Request:  request,
		Job:      job,
		Endpoint: endpoint,
		Cause:    cause,
	})
}

// nonceBytes tells the dispatches of one request apart.
const nonceBytes = 8

func nonce() string {
	return rand.Text()[:nonceBytes]
}
