package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/keeper"
)

// obtain returns the run that answers a keyed request: one in progress on this
// host, the recorded one, or a new one.
func (e *Entry) obtain(ctx context.Context, k *keyedCall) (*run, error) {
	r, fresh := e.runs.claim(k.id, k.digest, newID())
	if r == nil {
		return nil, refused("too many keyed requests are in progress or wait for the log")
	}
	if !fresh {
		return r, join(r, k)
	}
	// The caller may leave; what was begun is brought to its end all the same.
	err := e.begin(context.WithoutCancel(ctx), k, r)
	if err == nil {
		return r, nil
	}
	if !r.ended() {
		r.finish(failed(err), false)
		e.runs.drop(r)
	}
	return nil, err
}

// join reports whether a request may follow a run of this host.
func join(r *run, k *keyedCall) error {
	switch {
	case r.digest != k.digest:
		return conflict()
	case r.ended(), k.idempotent, k.resume != nil:
		return nil
	default:
		return inProgress()
	}
}

func (e *Entry) begin(ctx context.Context, k *keyedCall, r *run) error {
	if k.idempotent {
		return e.beginIdempotent(ctx, k, r)
	}
	return e.beginOnce(ctx, k, r)
}

// beginIdempotent replays the recorded answer or runs the request. Without the
// ledger it runs it too: it may be repeated, and is recorded later.
func (e *Entry) beginIdempotent(ctx context.Context, k *keyedCall, r *run) error {
	s, err := e.lookUp(ctx, k)
	if err != nil {
		e.launch(k, r)
		return nil
	}
	if s.Request.Digest != k.digest {
		return conflict()
	}
	end, err := kept(s)
	if err != nil || judge(true, false, end) != verdictReplay {
		e.launch(k, r)
		return nil
	}
	r.finish(end, true)
	e.runs.drop(r)
	return nil
}

func (e *Entry) lookUp(ctx context.Context, k *keyedCall) (*keeper.RequestStatus, error) {
	partition := keeper.PartitionOf(k.customer, k.ledgerKey(), e.opts.Partitions)
	if !e.outage.open(partition, time.Now()) {
		return nil, keeper.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	s, err := e.requests.Request(ctx, k.customer, k.id)
	e.outage.note(partition, outOfReach(err), time.Now())
	return s, err
}

// beginOnce runs the request if this call makes its start record durable.
func (e *Entry) beginOnce(ctx context.Context, k *keyedCall, r *run) error {
	for ; k.attempt < maxAttempts; k.attempt++ {
		s, err := e.start(ctx, k, r)
		if err != nil {
			return err
		}
		end, err := kept(s)
		if err != nil {
			return errors.Wrap(err, "read result")
		}
		switch judge(false, s.Started, end) {
		case verdictRun:
			e.launch(k, r)
			return nil
		case verdictReplay:
			r.finish(end, true)
			e.runs.drop(r)
			return nil
		case verdictUnknown:
			// This host holds the request's place in its table: a run of its
			// own that began before has ended without a whole answer.
			interrupted := s.Interrupted || s.Request.Host == e.opts.Host
			return e.resumeStarted(k, r, interrupted)
		case verdictNextAttempt:
		}
	}
	return tooManyAttempts()
}

// resumeStarted reads a request that was started elsewhere from the engine that
// ran it; it is never run again. Interrupted tells that the host that started it
// may be gone.
func (e *Entry) resumeStarted(k *keyedCall, r *run, interrupted bool) error {
	switch {
	case k.resumable():
	case interrupted:
		return unknownOutcome()
	default:
		return inProgress()
	}
	k.onlyResume = true
	e.launch(k, r)
	return nil
}

func (e *Entry) start(ctx context.Context, k *keyedCall, r *run) (*keeper.RequestStatus, error) {
	partition := keeper.PartitionOf(k.customer, k.ledgerKey(), e.opts.Partitions)
	if !e.outage.open(partition, time.Now()) {
		return nil, refused("the log is out; the request was not started")
	}
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	s, err := e.requests.StartRequest(bounded, e.startMessage(k, r))
	e.outage.note(partition, outOfReach(err), time.Now())
	switch {
	case err == nil:
		return s, nil
	case errors.Is(err, keeper.ErrConflict):
		return nil, conflict()
	case errors.Is(err, keeper.ErrTrimmed), errors.Is(err, keeper.ErrInvalid):
		return nil, err
	}
	// The start record may stand all the same, whatever the error: the client
	// asks one leader after the other, and tells the last one's answer. The
	// request is refused, and the record is closed as not run once the log
	// answers again.
	failure := refused("the start of the request was not recorded in time")
	e.hold(k, r, &answer{Failure: failure})
	return nil, failure
}

func (e *Entry) startMessage(k *keyedCall, r *run) *keeper.StartMessage {
	return &keeper.StartMessage{
		Customer:   k.customer,
		Key:        k.ledgerKey(),
		Digest:     k.digest,
		Idempotent: k.idempotent,
		Nonce:      r.nonce,
		Host:       e.opts.Host,
	}
}

// outOfReach reports whether the partition gave no answer.
func outOfReach(err error) bool {
	return errors.Is(err, keeper.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded)
}

// launch carries the request out apart from its caller's connection.
func (e *Entry) launch(k *keyedCall, r *run) {
	end := time.Now().Add(maxRunTime)
	if !k.deadline.IsZero() && k.deadline.Before(end) {
		end = k.deadline
	}
	e.record(k.id, "run-started", r.name())
	k.hold.keep()
	go func() {
		defer k.hold.end()
		bounded, cancel := context.WithDeadline(context.Background(), end)
		defer cancel()
		ctx, stop := until(bounded, e.shutdown.ending)
		defer stop()
		e.conclude(k, r, k.execute(ctx, r))
	}()
}

// conclude ends a run. Whole answers are recorded, and so is that a request
// which is not idempotent did not run; other failures are not, which leaves a
// start without an end: unknown.
func (e *Entry) conclude(k *keyedCall, r *run, a *answer) {
	refusal := !k.idempotent && !k.onlyResume && a.notRun()
	if a.Failure != nil && !refusal {
		// Once the caller knows the failure, the ledger alone is asked.
		e.runs.drop(r)
		r.finish(a, false)
		return
	}
	if k.idempotent {
		e.hold(k, r, a)
		return
	}
	if refusal {
		// This run made the start record, and no attempt before it ran.
		a.Failure.certain = true
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := e.recordEnd(ctx, &pending{call: k, run: r, end: a}); err != nil {
		e.hold(k, r, a)
		return
	}
	r.finish(a, true)
	e.runs.drop(r)
}

// hold ends a run whose answer is not recorded yet, and keeps it until it is.
func (e *Entry) hold(k *keyedCall, r *run, a *answer) {
	r.finish(a, false)
	e.recorder.add(&pending{call: k, run: r, end: a})
}

func conflict() *APIError {
	return &APIError{
		Status:   http.StatusConflict,
		Code:     CodeConflict,
		Type:     typeInvalidRequest,
		Param:    HeaderIdempotencyKey,
		Message:  "the idempotency key was used for another request",
		RunState: dispatch.NotRun,
		certain:  true,
	}
}

func inProgress() *APIError {
	return &APIError{
		Status:     http.StatusConflict,
		Code:       CodeInProgress,
		Type:       typeInvalidRequest,
		Message:    "the request is in progress",
		RunState:   dispatch.Unknown,
		RetryAfter: defaultRetryAfter,
	}
}

func unknownOutcome() *APIError {
	return &APIError{
		Status:     http.StatusConflict,
		Code:       CodeOutcomeUnknown,
		Type:       typeServer,
		Message:    "the request was started and may have run; it is not run again",
		RunState:   dispatch.Unknown,
		RetryAfter: defaultRetryAfter,
	}
}

func tooManyAttempts() *APIError {
	return &APIError{
		Status:   http.StatusConflict,
		Code:     CodeConflict,
		Type:     typeInvalidRequest,
		Param:    HeaderIdempotencyKey,
		Message:  "the key was refused too often; none of its attempts ran; send the request with another key",
		RunState: dispatch.NotRun,
		certain:  true,
	}
}

// refused is the answer to a request that was not begun.
func refused(message string) *APIError {
	return &APIError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeUnavailable,
		Type:       typeServer,
		Message:    message,
		RunState:   dispatch.NotRun,
		RetryAfter: defaultRetryAfter,
	}
}
