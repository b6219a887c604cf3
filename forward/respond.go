package forward

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/upstream"
)

// answer ends a request with an answer of the system's own.
func (f *Forwarder) answer(w http.ResponseWriter, req *request, status int, reason string) {
	req.reason = reason
	h := w.Header()
	platform.EchoID(h, req.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(reason + "\n"))
	f.finished(req, status)
}

// reject ends a request that did not run.
func (f *Forwarder) reject(w http.ResponseWriter, req *request, r *Rejection) {
	if r.RetryAfter > 0 {
		platform.SetRetryAfter(w.Header(), r.RetryAfter)
	}
	req.inputs, req.retryAfter = r.Inputs, r.RetryAfter
	f.metrics.rejections.WithLabelValues(r.Reason).Inc()
	f.answer(w, req, http.StatusServiceUnavailable, r.Reason)
}

// giveUp ends a request that has no tries left.
func (f *Forwarder) giveUp(w http.ResponseWriter, req *request, err error) {
	var rejection *Rejection
	switch {
	case req.http.Context().Err() != nil:
		f.abandoned(req)
	case !time.Now().Before(req.deadline):
		f.answer(w, req, http.StatusGatewayTimeout, "deadline exceeded")
	case req.unknown || req.ran > 0:
		f.answer(w, req, http.StatusBadGateway, "interrupted, it may have run")
	case errors.As(err, &rejection):
		f.reject(w, req, rejection)
	default:
		f.reject(w, req, &Rejection{Reason: "no endpoint took the request", RetryAfter: shortRetry})
	}
}

// abandoned ends a request whose client has left.
func (f *Forwarder) abandoned(req *request) {
	req.reason = "client left"
	f.finished(req, 0)
}

// abort breaks the connection off, so that the client does not take what it has
// for a whole answer.
func (f *Forwarder) abort(req *request, reason string) {
	req.reason = reason
	f.finished(req, 0)
	panic(http.ErrAbortHandler)
}

// writeHead passes the head of an endpoint's answer on.
func writeHead(w http.ResponseWriter, answer *upstream.Answer) {
	h := w.Header()
	for name, values := range platform.EndToEnd(answer.Header) {
		h[name] = values
	}
	if _, found := h["Content-Type"]; !found {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	w.WriteHeader(answer.Status)
}

// finished logs and counts the end of a request.
func (f *Forwarder) finished(req *request, status int) {
	now := time.Now()
	// Where no route says what was asked for, the line has to.
	kind, name, target := "none", "", req.http.Host+req.http.URL.Path
	target = target[:min(len(target), targetBytes)]
	if req.route != nil {
		kind, name, target = req.route.Kind.String(), req.route.Name, ""
	}
	f.metrics.observe(kind, status, now.Sub(req.started))
	first := time.Duration(0)
	if !req.firstByte.IsZero() {
		first = req.firstByte.Sub(req.started)
	}
	objective := time.Duration(0)
	if req.route != nil {
		objective = req.route.Objective
	}
	_ = level.Info(f.opts.Logger).Log("event", "request", "request", req.ID, "objective_ms", objective.Milliseconds(), "route", name, "kind", kind, "target", target,
		"config", req.version, "status", status, "reason", req.reason, "inputs", req.inputs,
		"retry_after_ms", req.retryAfter.Milliseconds(), "endpoints", req.tried,
		"ran", req.ran, "refused", req.refused, "placed_ms", req.placed.Milliseconds(),
		"first_ms", first.Milliseconds(), "total_ms", now.Sub(req.started).Milliseconds())
}
