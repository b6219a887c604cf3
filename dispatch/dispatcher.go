package dispatch

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/routing"
	"github.com/peridotmount/peridotmount/timeline"
)

const (
	// maxFailures limits the endpoints that may fail one call. Attempts that a home
	// refused or did not respond to, and attempts that were revoked or moved, do not
	// count.
	maxFailures = 4
	// maxFallbacks limits the services tried for one call along a chain of
	// fallbacks, the first one included.
	maxFallbacks = 4
	// retryAfter is the RetryAfter of errors for which no home stated one.
	retryAfter = 2 * time.Second
)

// Dispatcher sends calls to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	opts    Options
	router  *router
	retries *budgets
	hedges  *budgets
	lengths *lengthEstimator
	metrics *metrics
}

// New returns a Dispatcher whose policy has defaults for the values left zero.
func New(opts Options) *Dispatcher {
	opts.Policy = opts.Policy.withDefaults()
	if opts.Prober == nil {
		opts.Prober = &http.Client{Transport: &http.Transport{}}
	}
	return &Dispatcher{
		opts:    opts,
		router:  newRouter(opts.View, opts.Admits, routing.Options{Zone: opts.Zone, Region: opts.Region, Seed: opts.Seed}),
		retries: newBudgets(opts.Policy.RetryShare, retryBurst),
		hedges:  newBudgets(opts.Policy.HedgeShare, hedgeBurst),
		lengths: newLengthEstimator(),
		metrics: newMetrics(opts.Registerer),
	}
}

// Stream runs a generation and passes each token to sink exactly once. The error
// is an *Error.
//
// If the service is idempotent, a stream that breaks off or whose ticket is
// revoked is resumed at another endpoint from the tokens received so far, until
// the deadline passes, the retry budget is used up, maxFailures attempts have failed,
// no further endpoint can take the call, or maxRevocations is exceeded. The error is
// ErrRevoked only in the last case. If no endpoint can take the call and none has run
// any of it, the call is sent to the service's fallback.
func (d *Dispatcher) Stream(ctx context.Context, c *Call, sink Sink) (Result, error) {
	if !c.Deadline.IsZero() {
		bounded, cancel := context.WithDeadline(ctx, c.Deadline)
		defer cancel()
		ctx = bounded
	}
	call := *c
	for range maxFallbacks {
		result, err := newExecution(d, &call, sink).runMarked(ctx)
		fallback := d.fallback(&call, err)
		if fallback == nil {
			return result, err
		}
		call.Service = fallback
		call.Adapter = ""
	}
	return Result{}, &Error{Cause: ErrNoEndpoint, RunState: NotRun, RetryAfter: retryAfter}
}

// fallback returns the fallback service for a call that failed with err, or nil.
// Only a call that was not run, because no endpoint could take it, falls back.
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

// choose returns an endpoint of a pool, a random one in baseline mode.
func (d *Dispatcher) choose(pool string, q *routing.Query) (routing.Choice, bool) {
	if d.opts.Policy.Baseline {
		return d.router.random(pool, q)
	}
	return d.router.choose(pool, q)
}

// reachable returns a function that reports whether the home of an endpoint is
// reachable, or nil if calls of the class do not wait for the home's response.
func (d *Dispatcher) reachable(class objects.Class) func(endpoint string) bool {
	if !d.usesTickets() || class == objects.ClassUrgent {
		return nil
	}
	return d.opts.Tickets.Reachable
}

// usesTickets reports whether calls need tickets from the endpoints' homes.
func (d *Dispatcher) usesTickets() bool {
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

// nonceLength is the length of the nonce, in characters, that makes the ticket IDs
// of repeated dispatches of one request distinct.
const nonceLength = 8

func nonce() string {
	return rand.Text()[:nonceLength]
}
