package forward

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

// Forwarder is the HTTP handler of the operator's routes.
type Forwarder struct {
	opts Options
	// bodies reserves memory for request bodies, within Options.BodyBudget.
	bodies *semaphore.Weighted
	// responses reserves memory for responses, within Options.ResponseBudget. Nil has no limit.
	responses *semaphore.Weighted
	hedges    hedgeBudget
	metrics   *metrics
	// confirmer confirms the configuration for requests with keys.
	confirmer confirmer
	// durations holds how long recent requests took.
	durations *durations
	// closing ends with EndRequests.
	closing context.Context
	close   context.CancelFunc
	// inFlight is the number of requests in flight.
	inFlight atomic.Int64
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	f := &Forwarder{opts: o, bodies: semaphore.NewWeighted(o.BodyBudget), durations: newDurations(), metrics: newMetrics(o.Registerer)}
	f.confirmer.read = o.Configuration.Confirm
	if o.ResponseBudget > 0 {
		f.responses = semaphore.NewWeighted(o.ResponseBudget)
	}
	f.closing, f.close = context.WithCancel(context.Background())
	return f
}

// EndRequests ends all requests that were read whole, those in flight and those to come: with
// a refusal if they did not run, with status 502 if they may have run, and by breaking off
// streams that have begun. It is for the end of a host's time to shut down.
func (f *Forwarder) EndRequests() {
	f.close()
}

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int64 {
	return f.inFlight.Load()
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	started, read := time.Now(), clock.Now()
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	req := &request{Request: platform.ParseRequest(hr.Header), http: hr, started: started, read: read, phase: readingBody}
	if shutdown := f.opts.Shutdown(); shutdown != nil {
		w.Header().Set("Connection", "close")
		if shutdown.closed(started) {
			f.refuseUnread(w, req, shutdownRejection("the host takes no more requests"))
			return
		}
	}
	waiting, stop := f.untilEnd(hr.Context())
	defer stop()
	f.opts.Started.Wait(waiting)
	config := f.opts.Configuration.Current()
	if config == nil {
		f.reject(w, req, &Rejection{Reason: "no configuration is known yet", RetryAfter: startupRetry})
		return
	}
	if job, called := jobCall(hr, config); called {
		if f.authenticateJobCall(waiting, w, req, job) {
			f.serveJobs(waiting, w, req)
		}
		return
	}
	if f.serveRepeat(waiting, w, req, config) {
		return
	}
	if !f.match(waiting, w, req, config) || !f.authenticate(waiting, w, req) {
		return
	}
	if req.route.Kind == route.Batch {
		f.serveJobs(waiting, w, req)
		return
	}
	f.serve(w, req, config.Limits)
}

// untilEnd returns a context that ends with that of a request, and with the host's time.
func (f *Forwarder) untilEnd(client context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(client)
	forget := context.AfterFunc(f.closing, cancel)
	return ctx, func() {
		forget()
		cancel()
	}
}

// jobCall returns the id of the batch job that a request calls on, and whether it does. A job is
// known to all hosts for longer than its route may exist, so only the ledger can tell that there is
// none.
func jobCall(hr *http.Request, config *route.Configuration) (string, bool) {
	if !platform.IsJobCall(hr) {
		return "", false
	}
	call, err := platform.ParseJobCall(hr)
	return call.Job, err == nil || config.Serves(hr.Host)
}

// serveRepeat serves a request that hands in a batch job which was accepted, and reports whether it did. Such a
// request belongs to the job, whatever route its path selects by now: as a request of that route it would run there,
// need a key that the job needs not, or be accepted as another job.
func (f *Forwarder) serveRepeat(ctx context.Context, w http.ResponseWriter, req *request, config *route.Configuration) bool {
	hr := req.http
	if hr.Method != http.MethodPost || req.ID == "" || platform.IsJobCall(hr) || !f.opts.MayRepeatJob(req.ID, hr.URL.Path) {
		return false
	}
	nobody := route.Caller{Checked: config.HasWorkspaces()}
	caller := nobody
	var c *credential
	var rejection *Rejection
	if caller.Checked {
		if c, rejection = f.identify(ctx, req); rejection == nil && c.workspace != nil {
			caller.Workspace = c.workspace.Name
		}
	}
	repeats := func(caller route.Caller) bool { return f.opts.RepeatsJob(req.ID, hr.Host, hr.URL.Path, caller) }
	switch {
	case repeats(caller):
		req.caller = caller
		f.serveJobs(ctx, w, req)
	case repeats(nobody):
		// A job of a public route belongs to no workspace, also if its client sends a key.
		req.caller = nobody
		f.serveJobs(ctx, w, req)
	case rejection != nil:
		// Its workspace may be the one of the job.
		f.admit(w, req, c, rejection)
	default:
		return false
	}
	return true
}

// serveJobs serves a call of the API of batch jobs, and logs and counts it if its client's
// connection ended meanwhile. The context is that of untilEnd.
func (f *Forwarder) serveJobs(ctx context.Context, w http.ResponseWriter, req *request) {
	call := req.http.WithContext(route.WithCaller(ctx, req.caller))
	if call.ContentLength != 0 {
		body := newEndingBody(w, call.Body, f.closing, req.started.Add(shortestTimeout(req.Wait)))
		defer body.release()
		call.Body = body
	}
	f.opts.Jobs.ServeHTTP(w, call)
	if ctx := req.http.Context(); f.clientLeft(ctx) {
		// net/http watches the connection only once the body was read whole.
		req.phase, req.ending = awaitingResponse, disconnected(ctx)
		f.metrics.incomplete.WithLabelValues(route.Batch.String(), string(req.phase), string(req.ending)).Inc()
		_ = level.Info(f.opts.Logger).Log("event", "job_call_interrupted", "request", req.ID, "method", req.http.Method,
			"target", req.http.URL.Path[:min(len(req.http.URL.Path), maxTargetBytes)], "ended_by", req.ending, "total_ms", time.Since(req.started).Milliseconds())
	}
}

// RejectOverLimit rejects requests on connections beyond the host's connection limit.
func (f *Forwarder) RejectOverLimit(w http.ResponseWriter, hr *http.Request) {
	req := &request{Request: platform.ParseRequest(hr.Header), http: hr, started: time.Now(), phase: readingBody}
	f.reject(w, req, &Rejection{Reason: "the host serves as many connections as it may", RetryAfter: connectionLimitRetry})
}

// match sets the route and the service of a request and reports true, or responds that
// there is no route and reports false. The context is that of untilEnd.
func (f *Forwarder) match(ctx context.Context, w http.ResponseWriter, req *request, config *route.Configuration) bool {
	req.route = config.Match(req.http.Host, req.http.URL.Path)
	if req.route == nil {
		// A route may have been added since the configuration was last read.
		if err := f.opts.Configuration.Confirm(ctx); err != nil {
			f.reject(w, req, &Rejection{Reason: "no route is known, and the configuration may be old", RetryAfter: startupRetry})
			return false
		}
		config = f.opts.Configuration.Current()
		if req.route = config.Match(req.http.Host, req.http.URL.Path); req.route == nil {
			f.respond(w, req, http.StatusNotFound, "no route")
			return false
		}
	}
	req.configVersion = config.Version
	req.service = req.route.Pick(hashID(req.ID))
	return true
}

// serve reads the body of a request, sets its deadline and forwards it.
func (f *Forwarder) serve(w http.ResponseWriter, req *request, limits route.Limits) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if req.http.ContentLength > limit {
		f.respond(w, req, http.StatusRequestEntityTooLarge, "body exceeds the limit")
		return
	}
	req.deadline = req.started.Add(shortestTimeout(req.Wait, req.route.Timeout))
	if rejection := f.lastsTooLong(req, false); rejection != nil {
		f.refuseUnread(w, req, rejection)
		return
	}
	release, err := f.readBody(w, req, limit)
	if err != nil {
		f.respondBodyError(w, req, err)
		return
	}
	defer release()
	req.phase = awaitingResponse
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	defer context.AfterFunc(f.closing, cancel)()
	defer req.releaseReplacement()
	_ = http.NewResponseController(w).SetWriteDeadline(req.deadline.Add(writeGrace))
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	if req.route.Kind == route.Streaming {
		f.serveStream(ctx, w, req)
		return
	}
	f.servePlain(ctx, w, req)
}

// shortestTimeout returns the shortest of the given timeouts that are not zero, or
// defaultTimeout if all are.
func shortestTimeout(timeouts ...time.Duration) time.Duration {
	out := time.Duration(0)
	for _, t := range timeouts {
		if t > 0 && (out == 0 || t < out) {
			out = t
		}
	}
	if out == 0 {
		return defaultTimeout
	}
	return out
}

// readBody reads the whole body into memory, if Options.BodyBudget has room for it;
// otherwise it returns a *Rejection. A body without a stated length reserves limit
// bytes. The returned function releases the reservation.
func (f *Forwarder) readBody(w http.ResponseWriter, req *request, limit int64) (func(), error) {
	size := req.http.ContentLength
	if size == 0 {
		return func() {}, nil
	}
	if size < 0 {
		size = limit
	}
	if !f.bodies.TryAcquire(size) {
		return nil, &Rejection{Reason: "memory for bodies is used up", RetryAfter: briefRetry}
	}
	ending := newEndingBody(w, req.http.Body, f.closing, req.deadline)
	defer ending.release()
	body, err := readAll(http.MaxBytesReader(w, ending, limit), req.http.ContentLength)
	if err != nil {
		f.bodies.Release(size)
		return nil, err
	}
	req.body = body
	return func() { f.bodies.Release(size) }, nil
}

// respondBodyError responds to a request whose body could not be read.
func (f *Forwarder) respondBodyError(w http.ResponseWriter, req *request, err error) {
	var tooLarge *http.MaxBytesError
	var rejection *Rejection
	switch {
	case errors.As(err, &rejection):
		f.reject(w, req, rejection)
	case errors.As(err, &tooLarge):
		f.respond(w, req, http.StatusRequestEntityTooLarge, "body exceeds the limit")
	case errors.Is(err, os.ErrDeadlineExceeded) && f.closing.Err() == nil:
		f.reject(w, req, &Rejection{Reason: "the body was not read whole in the time of the request", RetryAfter: briefRetry})
	case f.clientLeft(req.http.Context()):
		f.finishDisconnected(req)
	case f.closing.Err() != nil:
		f.refuseUnread(w, req, shutdownRejection("the body was not read whole"))
	default:
		f.respond(w, req, http.StatusBadRequest, "body can't be read: "+err.Error())
	}
}
