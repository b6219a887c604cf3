package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/pace"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/upstream"
)

// attempt is one attempt at one endpoint.
type attempt struct {
	placement Placement
	response  *upstream.Response
	started   time.Time
	usage     Usage
	verdict   platform.Verdict
	// watch detects an endpoint that stalls, and an attempt that times out.
	watch  *pace.Watch
	cancel context.CancelFunc
	// buffered is what is reserved from responses for the body of the response.
	buffered  int64
	responses *semaphore.Weighted
}

// version returns the software version that answers the attempt.
func (a *attempt) version() string {
	e := a.placement.Endpoint()
	if a.response.OtherProcess {
		return platform.UnknownVersion(e)
	}
	return e.Version
}

// reserve reserves memory for a response, until the attempt is released, and reports whether it did.
func (a *attempt) reserve(size int64) bool {
	if a.responses == nil {
		return true
	}
	if !a.responses.TryAcquire(size) {
		return false
	}
	a.buffered += size
	return true
}

// reserveOnly gives back what is reserved beyond a size.
func (a *attempt) reserveOnly(size int64) {
	if excess := a.buffered - size; excess > 0 {
		a.responses.Release(excess)
		a.buffered -= excess
	}
}

// respondingEvents is how many events of a stream show that its endpoint can answer the
// request. The first event may have left an endpoint that crashes while it begins.
const respondingEvents = 2

// countEvents records events of the stream that arrived.
func (a *attempt) countEvents(n int) {
	before := a.usage.Events
	a.usage.Events += n
	if n > 0 {
		took := time.Since(a.started)
		if before == 0 {
			a.usage.FirstEvent = took
		}
		a.usage.Generating = took - a.usage.FirstEvent
	}
	if before < respondingEvents && a.usage.Events >= respondingEvents {
		a.usage.Responding = true
		a.placement.ReportResponding()
	}
}

// release releases the placement, the connection and the timers of the attempt.
func (a *attempt) release(outcome Outcome) {
	a.usage.Outcome = outcome
	a.usage.Took = time.Since(a.started)
	a.watch.Stop()
	if a.response != nil {
		a.usage.ServerError = a.verdict == platform.Failed && a.response.Status >= http.StatusInternalServerError
		a.usage.Reusable = a.response.Close()
	}
	a.cancel()
	if a.buffered > 0 {
		a.responses.Release(a.buffered)
	}
	a.placement.Release(a.usage)
}

// sendAttempt places a request and sends it once. It returns nil and no error if
// the attempt got no response from an endpoint that ran the request; the request may then
// be attempted again if it has attempts left.
func (f *Forwarder) sendAttempt(ctx context.Context, req *request, lastEvent string) (*attempt, error) {
	placementStarted := time.Now()
	placement, err := req.takeReplacement(), error(nil)
	if placement == nil {
		req.countPlacing(1)
		placement, err = f.opts.Placer.Place(ctx, req.placementRequest(placementStarted))
		req.countPlacing(-1)
	}
	now := time.Now()
	if err != nil {
		return nil, err
	}
	if req.notPassedOn() {
		if rejection := f.lastsTooLong(req, true); rejection != nil {
			placement.Release(Usage{Outcome: OutcomeAbandoned})
			return nil, rejection
		}
	}
	e := placement.Endpoint()
	// Before the endpoint is known, as a hedge may begin then.
	req.setCharged()
	req.addAttempt(placement, now.Sub(placementStarted))
	if req.resumedRequest() != "" {
		// The placer knows that this version began the stream.
		req.setVersion(e.Version)
	}
	a := &attempt{placement: placement, started: now, responses: f.responses}
	var attemptCtx context.Context
	attemptCtx, a.cancel = context.WithCancel(ctx)
	// Endpoints are told whole milliseconds.
	left := req.timeLeft(now).Truncate(time.Millisecond)
	header := platform.ForwardHeader(req.http.Header, left, e.ID, req.caller)
	if lastEvent != "" {
		platform.SetLastEvent(header, lastEvent)
	}
	a.watch = pace.StartLenient(req.paceLimits(f.tokensPerEvent(e.Service)), placement.ReportStalled, func(overdue context.Context, w *pace.Watch) {
		f.replace(overdue, req, w, a.cancel)
	})
	a.response, err = f.opts.Sender.Send(attemptCtx, e.ID, e.Address, &upstream.Call{
		Request:    req.ID,
		Method:     req.http.Method,
		Target:     req.http.RequestURI,
		Host:       req.http.Host,
		Header:     header,
		Body:       req.body,
		Matches:    platform.Answers(req.ID),
		Fresh:      lastEvent != "",
		Deadline:   now.Add(left),
		Check:      f.check(e, header),
		OnResponse: platform.Heads(platform.Leaving(e, f.opts.OnLeaving), platform.Limit(e, req.ID, clock.Now(), f.opts.OnLimit)),
	})
	if err != nil {
		f.endWithError(ctx, req, a, err)
		if errors.Is(err, upstream.ErrCutOff) {
			return nil, &Rejection{Reason: upstream.ErrCutOff.Error(), RetryAfter: cutOffRetry, Inputs: err.Error()}
		}
		return nil, nil
	}
	req.addVia(a.response.Via)
	a.usage.TimeToFirstByte = time.Since(now)
	return f.classify(req, a), nil
}

// check returns the check for a call to an endpoint, or nil.
func (f *Forwarder) check(e *endpoint.Endpoint, h http.Header) *upstream.Check {
	if f.opts.Check == nil {
		return nil
	}
	return f.opts.Check(e, h)
}

// tokensPerEvent returns the number of tokens in each event of a service.
func (f *Forwarder) tokensPerEvent(service string) int {
	if c := f.opts.Configuration.Current(); c != nil {
		return c.TokensPerEvent(service)
	}
	return 1
}

// endWithError ends an attempt that got no response.
func (f *Forwarder) endWithError(ctx context.Context, req *request, a *attempt, err error) {
	outcome := OutcomeUnknown
	switch {
	case errors.Is(err, upstream.ErrCutOff):
		outcome = OutcomeCutOff
	case errors.Is(err, upstream.ErrOtherProcess):
		outcome = OutcomeUnread
	case errors.Is(err, upstream.ErrNotSent) && !f.clientLeft(req.http.Context()):
		outcome = OutcomeNotSent
	case errors.Is(context.Cause(ctx), errHedgeLost):
		outcome = OutcomeHedgeLost
	case ctx.Err() != nil:
		outcome = OutcomeAbandoned
	case a.watch.TimedOut():
		outcome = OutcomeTimedOut
	case errors.Is(err, upstream.ErrPathLost):
		outcome = OutcomePathLost
	}
	if errors.Is(err, upstream.ErrNotSent) {
		req.countRefusal()
	} else {
		req.countRun(true)
	}
	f.recordAttempt(req, a, outcome, err.Error())
	a.release(outcome)
}

// classify returns the attempt if its response shows that the request ran; otherwise it
// ends the attempt and returns nil.
func (f *Forwarder) classify(req *request, a *attempt) *attempt {
	a.verdict = platform.Judge(a.response.Status, a.response.Header)
	outcome := OutcomeUnknown
	switch a.verdict {
	case platform.Answered, platform.Failed:
		req.countRun(false)
		req.setFirstByte(time.Now())
		if req.route.Kind == route.Idempotent {
			a.watch.RecordEvent()
		}
		return a
	case platform.NotRun:
		outcome = OutcomeNotRun
		req.countRefusal()
	case platform.Misdirected:
		outcome = OutcomeMisdirected
		req.countRefusal()
	default:
		req.countRun(true)
	}
	f.recordAttempt(req, a, outcome, a.verdict.String())
	a.release(outcome)
	return nil
}

// recordAttempt logs and counts an attempt that did not complete its request.
func (f *Forwarder) recordAttempt(req *request, a *attempt, outcome Outcome, reason string) {
	f.metrics.attempts.WithLabelValues(string(outcome)).Inc()
	_ = level.Info(f.opts.Logger).Log("event", "try", "request", req.ID, "endpoint", a.placement.Endpoint().ID, "version", a.placement.Endpoint().Version,
		"outcome", outcome, "reason", reason, "events", a.usage.Events, "parts", sharedParts(req.promptParts()),
		"after_ms", time.Since(a.started).Milliseconds())
}
