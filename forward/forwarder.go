package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

// Forwarder is the HTTP handler of the operator's routes.
type Forwarder struct {
	opts Options
	// bodies reserves memory for request bodies, within Options.BodyBudget.
	bodies  *semaphore.Weighted
	hedges  hedgeBudget
	metrics *metrics
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{opts: o, bodies: semaphore.NewWeighted(o.BodyBudget), metrics: newMetrics(o.Registerer)}
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	started := time.Now()
	if f.opts.Draining() {
		w.Header().Set("Connection", "close")
	}
	req := &request{Request: platform.ParseRequest(hr.Header), http: hr, started: started}
	f.opts.Started.Wait(hr.Context())
	config := f.opts.Configuration.Current()
	if config == nil {
		f.reject(w, req, &Rejection{Reason: "no configuration is known yet", RetryAfter: startRetry})
		return
	}
	if platform.IsJobCall(hr) && config.Serves(hr.Host) {
		f.opts.Jobs.ServeHTTP(w, hr)
		return
	}
	if !f.match(w, req, config) {
		return
	}
	if req.route.Kind == route.Batch {
		f.opts.Jobs.ServeHTTP(w, hr)
		return
	}
	f.serve(w, req, config.Limits)
}

// Full rejects requests on connections beyond the host's connection limit.
func (f *Forwarder) Full(w http.ResponseWriter, hr *http.Request) {
	req := &request{Request: platform.ParseRequest(hr.Header), http: hr, started: time.Now()}
	f.reject(w, req, &Rejection{Reason: "the host serves as many connections as it may", RetryAfter: fullRetry})
}

// match sets the route and the service of a request and reports true, or responds that
// there is no route and reports false.
func (f *Forwarder) match(w http.ResponseWriter, req *request, config *route.Configuration) bool {
	req.route = config.Match(req.http.Host, req.http.URL.Path)
	if req.route == nil {
		// A route may have been added since the configuration was last read.
		if err := f.opts.Configuration.Confirm(req.http.Context()); err != nil {
			f.reject(w, req, &Rejection{Reason: "no route is known, and the configuration may be old", RetryAfter: startRetry})
			return false
		}
		config = f.opts.Configuration.Current()
		if req.route = config.Match(req.http.Host, req.http.URL.Path); req.route == nil {
			f.answer(w, req, http.StatusNotFound, "no route")
			return false
		}
	}
	req.version = config.Version
	req.service = req.route.Pick(fingerprint(req.ID))
	return true
}

// serve reads the body of a request, sets its deadline and forwards it.
func (f *Forwarder) serve(w http.ResponseWriter, req *request, limits route.Limits) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if req.http.ContentLength > limit {
		f.answer(w, req, http.StatusRequestEntityTooLarge, "body exceeds the limit")
		return
	}
	release, err := f.readBody(w, req, limit)
	if err != nil {
		f.answerBodyError(w, req, err)
		return
	}
	defer release()
	wait := shortest(req.Wait, req.route.Timeout)
	req.deadline = req.started.Add(wait)
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	_ = http.NewResponseController(w).SetWriteDeadline(req.deadline.Add(writeGrace))
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	if req.route.Kind == route.Streaming {
		f.stream(ctx, w, req)
		return
	}
	f.plain(ctx, w, req)
}

// shortest returns the shortest of the given times that are not zero, or defaultWait
// if all are.
func shortest(times ...time.Duration) time.Duration {
	out := time.Duration(0)
	for _, t := range times {
		if t > 0 && (out == 0 || t < out) {
			out = t
		}
	}
	if out == 0 {
		return defaultWait
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
		return nil, &Rejection{Reason: "memory for bodies is used up", RetryAfter: shortRetry}
	}
	body, err := readAll(http.MaxBytesReader(w, req.http.Body, limit), req.http.ContentLength)
	if err != nil {
		f.bodies.Release(size)
		return nil, err
	}
	req.body = body
	return func() { f.bodies.Release(size) }, nil
}

// answerBodyError responds to a request whose body could not be read.
func (f *Forwarder) answerBodyError(w http.ResponseWriter, req *request, err error) {
	var tooLarge *http.MaxBytesError
	var rejection *Rejection
	switch {
	case errors.As(err, &rejection):
		f.reject(w, req, rejection)
	case errors.As(err, &tooLarge):
		f.answer(w, req, http.StatusRequestEntityTooLarge, "body exceeds the limit")
	case req.http.Context().Err() != nil:
		f.abandoned(req)
	default:
		f.answer(w, req, http.StatusBadRequest, "body can't be read: "+err.Error())
	}
}
