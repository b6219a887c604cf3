package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/dispatch"
)

// shutdownRetryAfter is when a request that a host refuses as it shuts down may be sent again:
// other hosts serve it at any time.
const shutdownRetryAfter = time.Second

// shutdown is how far the shutdown of the host is.
type shutdown struct {
	// refusing ends with RefuseWork, ending with EndRequests, and ended when requests have had
	// their time to settle after that.
	refusing, ending, ended context.Context
	refuse, end, finish     context.CancelFunc
	// inFlight is the number of requests in flight.
	inFlight atomic.Int64
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.refusing, s.refuse = context.WithCancel(context.Background())
	s.ending, s.end = context.WithCancel(context.Background())
	s.ended, s.finish = context.WithCancel(context.Background())
	return s
}

// RefuseWork has all work refused whose request is not read whole yet: callers' calls, uploads
// that begin and new batches. What is in progress goes on, and questions are answered.
func (e *Entry) RefuseWork() {
	e.shutdown.refuse()
}

// EndRequests ends the requests in flight: with a refusal if they did not run, with status 502
// if they may have run, and by breaking off responses that have begun. What the ledger does for
// them has settle to end. It is for the end of a host's time to shut down.
func (e *Entry) EndRequests(settle time.Duration) {
	e.shutdown.refuse()
	e.shutdown.end()
	time.AfterFunc(settle, e.shutdown.finish)
}

// InFlight returns the number of requests in flight.
func (e *Entry) InFlight() int64 {
	return e.shutdown.inFlight.Load()
}

// until returns ctx, which also ends with another context.
func until(ctx, end context.Context) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(end, cancel)
	return bounded, func() {
		stop()
		cancel()
	}
}

// stopReading has reads of the body fail once a context ends, until the returned function is
// called.
func stopReading(w http.ResponseWriter, end context.Context) func() bool {
	return context.AfterFunc(end, func() { boundBody(w, time.Nanosecond) })
}

// shuttingDown is the answer to a request that is not begun as the host shuts down.
func shuttingDown() *APIError {
	failure := refused("the host is shutting down; another one serves the request")
	failure.RetryAfter = shutdownRetryAfter
	failure.shutdown = true
	return failure
}

// endFailure returns the answer to a request that failed after EndRequests.
func endFailure(failure *APIError) *APIError {
	// What the caller itself did wrong, and what has run to its end, stays so.
	if failure.Status < http.StatusInternalServerError || failure.RunState == dispatch.Completed {
		return failure
	}
	if failure.RunState == dispatch.NotRun {
		out := shuttingDown()
		out.certain = failure.certain
		return out
	}
	return &APIError{
		Status:   http.StatusBadGateway,
		Code:     CodeInterrupted,
		Type:     typeServer,
		Message:  "the host shut down before the request had ended; it may have run",
		RunState: dispatch.Unknown,
		shutdown: true,
	}
}

// failure turns an error from below into the answer to the caller.
func (e *Entry) failure(err error) *APIError {
	failure := apiError(err)
	if e.shutdown.ending.Err() != nil {
		failure = endFailure(failure)
	}
	return failure
}

// shutdownOutcome is how a request ended because of a shutdown. Its value appears in the log
// and the metrics.
type shutdownOutcome string

const (
	// shutdownRefused requests did not run.
	shutdownRefused shutdownOutcome = "refused"
	// shutdownInterrupted requests may have run, and were told so.
	shutdownInterrupted shutdownOutcome = "interrupted"
	// shutdownBrokenOff requests had got a part of their response.
	shutdownBrokenOff shutdownOutcome = "broken_off"
)

// noteShutdown logs and counts a request that ended because of a shutdown. Refusals are as many
// as callers send, and are logged at level debug.
func (e *Entry) noteShutdown(id string, outcome shutdownOutcome, cause error) {
	e.metrics.shutdown.WithLabelValues(string(outcome)).Inc()
	logger := level.Info(e.logger)
	if outcome == shutdownRefused {
		logger = level.Debug(e.logger)
	}
	_ = logger.Log("event", "request_ended_by_shutdown", "request", id, "outcome", outcome, "err", cause)
}

// outcome returns how a request ended that is answered with e.
func (e *APIError) outcome() shutdownOutcome {
	if e.RunState == dispatch.NotRun {
		return shutdownRefused
	}
	return shutdownInterrupted
}
