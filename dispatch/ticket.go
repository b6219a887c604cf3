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

// want is what a call asks of the endpoints' homes, over all its tries.
type want struct {
	d     *Dispatcher
	req   admission.Request
	class objects.Class
	begun time.Time
	// refusals counts homes that refused, retryAfter is the shortest time that
	// they named.
	refusals   int
	retryAfter time.Duration
	// unasked sends the call without waiting for a ticket, as all homes are
	// silent.
	unasked bool
	// silent tells that a home did not answer.
	silent bool
	// request and nonce name the tickets, ids counts them.
	request string
	nonce   string
	ids     int
}

func newWant(d *Dispatcher, request string, customer *objects.Customer, class objects.Class) *want {
	return &want{
		d:       d,
		class:   class,
		begun:   time.Now(),
		request: request,
		nonce:   nonce(),
		req: admission.Request{
			Customer: customer.Name,
			Weight:   customer.Weight,
			Class:    class,
		},
	}
}

// nextID names the next ticket.
func (w *want) nextID() string {
	w.ids++
	return admission.TicketID(w.request, w.nonce, strconv.Itoa(w.ids))
}

// get returns the ticket for an endpoint; nil without an error if calls need
// none.
func (w *want) get(ctx context.Context, id string, choice *routing.Choice) (*admission.Ticket, error) {
	if !w.d.ticketed() {
		return nil, nil
	}
	req := w.req
	req.Ticket = id
	req.Endpoint = choice.Host.Name
	if w.follows(choice) {
		w.d.metrics.followed.Inc()
		return w.d.opts.Tickets.Follow(&req), nil
	}
	waited := time.Since(w.begun)
	req.WaitedMillis = waited.Milliseconds()
	req.WaitMillis = w.patience(waited).Milliseconds()
	t, err := w.d.opts.Tickets.Acquire(ctx, &req)
	if err != nil {
		return nil, w.refused(err)
	}
	w.d.metrics.wait.WithLabelValues(string(w.class)).Observe(time.Since(w.begun).Seconds())
	return t, nil
}

// follows reports whether the call starts before its ticket: urgent always, as
// the home takes batch off for it, online where there is headroom.
func (w *want) follows(choice *routing.Choice) bool {
	if w.req.Alone {
		return false
	}
	if w.class == objects.ClassUrgent || w.unasked {
		return true
	}
	return w.class == objects.ClassOnline && w.d.opts.Policy.Follow && choice.Headroom
}

// total bounds the whole time in queues.
func (w *want) total() time.Duration {
	if w.class == objects.ClassBatch {
		return w.d.opts.Policy.BatchWait
	}
	return w.d.opts.Policy.OnlineWait
}

func (w *want) patience(waited time.Duration) time.Duration {
	at := onlineHomeWait
	if w.class == objects.ClassBatch {
		at = batchHomeWait
	}
	return max(0, min(at, w.total()-waited))
}

func (w *want) refused(err error) error {
	var refusal *admission.RefusedError
	if !errors.As(err, &refusal) {
		return err
	}
	w.refusals++
	if w.retryAfter == 0 || refusal.RetryAfter < w.retryAfter {
		w.retryAfter = max(refusal.RetryAfter, time.Second)
	}
	return err
}

// over reports whether the call has waited as long as it may.
func (w *want) over() bool {
	if w.class != objects.ClassBatch && w.refusals >= maxRefusals {
		return true
	}
	return time.Since(w.begun) >= w.total()
}

// pause lets batch work rest after a refusal, so that it does not ask in a
// tight loop.
func (w *want) pause(ctx context.Context) {
	if w.class != objects.ClassBatch {
		return
	}
	timer := time.NewTimer(fullPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// again reports whether all endpoints are asked once more: those whose homes
// refused, until the call has waited long enough, and once those whose homes
// were silent, then without waiting for a ticket.
func (w *want) again(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if w.refusals > 0 && !w.over() {
		w.pause(ctx)
		return true
	}
	if w.silent && !w.unasked && w.class != objects.ClassBatch {
		w.unasked = true
		return true
	}
	return false
}

// exhausted is the end of a call that no endpoint takes.
func (w *want) exhausted(ctx context.Context, state RunState) error {
	switch {
	case ctx.Err() != nil:
		return &Error{Cause: ErrDeadline, RunState: state, RetryAfter: w.retryAfter}
	case w.refusals > 0:
		return &Error{Cause: ErrOverloaded, RunState: state, RetryAfter: max(w.retryAfter, time.Second)}
	default:
		return &Error{Cause: ErrNoEndpoint, RunState: state, RetryAfter: retryAfter}
	}
}

// afterFailure pays for a retry out of the service's budget, or returns the
// error that ends the call.
func (w *want) afterFailure(service, endpoint string, state RunState, err error) error {
	d := w.d
	if errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrLeaving) {
		d.router.unreachable(endpoint)
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
