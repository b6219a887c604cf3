package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/routing"
)

// ticketRequester acquires tickets for one call from the endpoints' homes, and tracks
// refusals and waiting time across all attempts.
type ticketRequester struct {
	d          *Dispatcher
	req        admission.Request
	class      objects.Class
	queueStart time.Time
	// refusals counts refusals by homes; retryAfter is their shortest RetryAfter, at
	// least a second.
	refusals   int
	retryAfter time.Duration
	// skipWait sends the call without waiting for a ticket, as no home responds.
	skipWait bool
	// homeUnresponsive means that at least one home did not respond.
	homeUnresponsive bool
	// requestID, nonce and the count issued make up the ticket IDs.
	requestID string
	nonce     string
	issued    int
}

func newTicketRequester(d *Dispatcher, requestID string, customer *objects.Customer, class objects.Class) *ticketRequester {
	return &ticketRequester{
		d:          d,
		class:      class,
		queueStart: time.Now(),
		requestID:  requestID,
		nonce:      nonce(),
		req: admission.Request{
			Customer: customer.Name,
			Weight:   customer.Weight,
			Class:    class,
		},
	}
}

// nextID returns the ID of the next ticket, which is also the ID of its stream.
func (r *ticketRequester) nextID() string {
	r.issued++
	return admission.TicketID(r.requestID, r.nonce, strconv.Itoa(r.issued))
}

// acquire returns a ticket for an endpoint, or nil without an error if calls need no
// tickets.
func (r *ticketRequester) acquire(ctx context.Context, id string, choice *routing.Choice) (*admission.Ticket, error) {
	if !r.d.usesTickets() {
		return nil, nil
	}
	req := r.req
	req.Ticket = id
	req.Endpoint = choice.Host.Name
	if r.startsBeforeTicket(choice) {
		r.d.metrics.followed.Inc()
		return r.d.opts.Tickets.AcquireWithoutWait(&req), nil
	}
	waited := time.Since(r.queueStart)
	req.WaitedMillis = waited.Milliseconds()
	req.WaitMillis = r.homeTimeout(waited).Milliseconds()
	t, err := r.d.opts.Tickets.Acquire(ctx, &req)
	if err != nil {
		return nil, r.noteRefusal(err)
	}
	r.d.metrics.wait.WithLabelValues(string(r.class)).Observe(time.Since(r.queueStart).Seconds())
	return t, nil
}

// startsBeforeTicket reports whether the call starts before its ticket is granted.
// Urgent calls always do, as the home preempts batch work for them; online calls do
// if the endpoint has headroom. Calls that must run alone never do.
func (r *ticketRequester) startsBeforeTicket(choice *routing.Choice) bool {
	if r.req.Exclusive {
		return false
	}
	if r.class == objects.ClassUrgent || r.skipWait {
		return true
	}
	return r.class == objects.ClassOnline && r.d.opts.Policy.Follow && choice.Headroom
}

// maxWait returns the limit of the total time in queues.
func (r *ticketRequester) maxWait() time.Duration {
	if r.class == objects.ClassBatch {
		return r.d.opts.Policy.BatchWait
	}
	return r.d.opts.Policy.OnlineWait
}

// homeTimeout returns how long the call may wait in the queue of one home.
func (r *ticketRequester) homeTimeout(waited time.Duration) time.Duration {
	limit := onlineHomeWait
	if r.class == objects.ClassBatch {
		limit = batchHomeWait
	}
	return max(0, min(limit, r.maxWait()-waited))
}

// noteRefusal counts err if it is a refusal, and returns it unchanged.
func (r *ticketRequester) noteRefusal(err error) error {
	var refusal *admission.RefusedError
	if !errors.As(err, &refusal) {
		return err
	}
	r.refusals++
	if r.retryAfter == 0 || refusal.RetryAfter < r.retryAfter {
		r.retryAfter = max(refusal.RetryAfter, time.Second)
	}
	return err
}

// limitReached reports whether the call has used up its time in queues or, unless it
// is a batch call, the number of refusals allowed.
func (r *ticketRequester) limitReached() bool {
	if r.class != objects.ClassBatch && r.refusals >= maxRefusals {
		return true
	}
	return time.Since(r.queueStart) >= r.maxWait()
}

// backOff delays a batch call after a refusal, so that it does not retry in a tight
// loop.
func (r *ticketRequester) backOff(ctx context.Context) {
	if r.class != objects.ClassBatch {
		return
	}
	timer := time.NewTimer(batchRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// retryAll reports whether all endpoints are to be tried again. After a refusal by a
// home it returns true until the call reaches its limits, for batch calls after a
// delay. Otherwise, if a home did not respond, it returns true once and sets skipWait,
// but not for batch calls.
func (r *ticketRequester) retryAll(ctx context.Context) bool {
	if ended(ctx) {
		return false
	}
	if r.refusals > 0 && !r.limitReached() {
		r.backOff(ctx)
		return true
	}
	if r.homeUnresponsive && !r.skipWait && r.class != objects.ClassBatch {
		r.skipWait = true
		return true
	}
	return false
}

// exhaustedError returns the error of a call that no endpoint takes.
func (r *ticketRequester) exhaustedError(ctx context.Context, state RunState) error {
	switch {
	case ended(ctx):
		return &Error{Cause: ErrDeadline, RunState: state, RetryAfter: r.retryAfter}
	case r.refusals > 0:
		return &Error{Cause: ErrOverloaded, RunState: state, RetryAfter: max(r.retryAfter, time.Second)}
	default:
		return &Error{Cause: ErrNoEndpoint, RunState: state, RetryAfter: retryAfter}
	}
}

// chargeRetry withdraws a retry from the service's budget, or returns the error that
// ends the call. It also excludes an endpoint that was unreachable or leaving from
// routing for a while.
func (r *ticketRequester) chargeRetry(service, endpoint string, state RunState, err error) error {
	d := r.d
	if errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrLeaving) {
		d.router.exclude(endpoint)
	}
	if d.opts.Policy.Baseline {
		return nil
	}
	if !d.retries.withdraw(service) {
		return &Error{Cause: errors.Wrap(ErrOverloaded, "retry budget is used up"), RunState: state, RetryAfter: retryAfter}
	}
	d.metrics.retries.WithLabelValues(causeOf(err)).Inc()
	return nil
}
