package detour

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/upstream"
)

// Server makes calls to endpoints for other hosts, over this host's own links.
type Server struct {
	sender *Sender
	calls  *semaphore.Weighted
	bodies *semaphore.Weighted
	// inProgress is the number of calls in progress.
	inProgress atomic.Int64
}

// NewServer returns a Server for the links of a Sender.
func NewServer(s *Sender) *Server {
	server := &Server{sender: s, calls: semaphore.NewWeighted(s.opts.MaxCalls), bodies: semaphore.NewWeighted(s.opts.MaxBodyBytes)}
	s.metrics.serve(s.opts.Registerer, server.InProgress)
	return server
}

// InProgress returns how many calls are in progress.
func (s *Server) InProgress() int {
	return int(s.inProgress.Load())
}

// Wait waits until no call is in progress, or ctx ends.
func (s *Server) Wait(ctx context.Context) {
	tick := time.NewTicker(waitTick)
	defer tick.Stop()
	for s.InProgress() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// ServeCall makes one call.
func (s *Server) ServeCall(w http.ResponseWriter, r *http.Request) {
	if s.sender.opts.Draining() {
		// A call on a kept connection could cross the end of this host.
		w.Header().Set("Connection", "close")
		s.refuse(w, "", leaving, "the host is shutting down")
		return
	}
	if !s.sender.links.Connected() {
		s.refuse(w, "", stranded, "the host reaches no endpoint")
		return
	}
	if !s.calls.TryAcquire(1) {
		s.refuse(w, "", busy, "the host makes as many calls for others as it may")
		return
	}
	defer s.calls.Release(1)
	size := max(0, r.ContentLength)
	if !s.bodies.TryAcquire(size) {
		s.refuse(w, "", busy, "memory for bodies of calls is used up")
		return
	}
	defer s.bodies.Release(size)
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	head, body, err := readCall(http.MaxBytesReader(w, r.Body, maxHeadBytes+maxCallBytes))
	if err != nil {
		s.refuse(w, "", unsent, err.Error())
		return
	}
	e := s.sender.opts.Endpoint(head.Endpoint)
	if e == nil {
		s.refuse(w, head.Request, unlisted, "the host has not read the endpoint's record")
		return
	}
	check := s.check(e, head)
	if head.Process != "" {
		if check == nil || check.Process != head.Process {
			s.refuse(w, head.Request, unlisted, "the host has read another record of the endpoint")
			return
		}
		// The host that asks may know of versions that this one doesn't.
		check.AtEnd, check.IdentifyNew = false, false
	}
	s.call(w, r, e, head, body, check)
}

// check returns the check that a call has to pass, or nil.
func (s *Server) check(e *endpoint.Endpoint, head *callHead) *upstream.Check {
	header, err := decodeHeader(head.Header)
	if err != nil || s.sender.opts.Check == nil {
		return nil
	}
	return s.sender.opts.Check(e, header)
}

// call makes a call to an endpoint and passes its response on.
func (s *Server) call(w http.ResponseWriter, r *http.Request, e *endpoint.Endpoint, head *callHead, body []byte, check *upstream.Check) {
	began := time.Now()
	opts := &s.sender.opts
	header, err := decodeHeader(head.Header)
	if err != nil {
		s.refuse(w, head.Request, unsent, err.Error())
		return
	}
	resp, err := opts.Pool.Send(r.Context(), e.ID, e.Address, &upstream.Call{
		Request:    head.Request,
		Method:     head.Method,
		Target:     string(head.Target),
		Host:       string(head.Host),
		Header:     header,
		Body:       body,
		Matches:    platform.Answers(head.Request),
		Fresh:      platform.GoesOn(header),
		Check:      check,
		OnResponse: opts.OnResponse(e, head.Request, clock.Now()),
	})
	if err != nil {
		result := unanswered
		if errors.Is(err, upstream.ErrNotSent) {
			result = unsent
		}
		s.refuse(w, head.Request, result, err.Error())
		return
	}
	defer resp.Close()
	result, reason := answered, ""
	if err := s.passOn(w, resp); err != nil {
		result, reason = cut, err.Error()
	}
	// A trailer tells the host that called the end of a response from that of the connection.
	w.Header().Set(outcomeTrailer, string(result))
	s.sender.metrics.served.WithLabelValues(string(result)).Inc()
	_ = level.Info(opts.Logger).Log("event", "detour_served", "request", head.Request, "endpoint", e.ID, "peer", r.RemoteAddr,
		"outcome", result, "reason", reason, "status", resp.Status, "after_ms", time.Since(began).Milliseconds())
}

// passOn writes a response, each part of it as it arrives.
func (s *Server) passOn(w http.ResponseWriter, resp *upstream.Response) error {
	head, err := json.Marshal(responseHead{Status: resp.Status, Header: encodeHeader(resp.Header), Length: resp.Length, Open: resp.Open, OtherProcess: resp.OtherProcess})
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	control := http.NewResponseController(w)
	w.Header().Set("Trailer", outcomeTrailer)
	if _, err := w.Write(append(head, '\n')); err != nil {
		return errors.Wrap(err, "write head")
	}
	return copyFlushing(w, control, resp)
}

// refuse answers a call that brought no response of the endpoint.
func (s *Server) refuse(w http.ResponseWriter, request string, result outcome, reason string) {
	s.sender.metrics.served.WithLabelValues(string(result)).Inc()
	_ = level.Info(s.sender.opts.Logger).Log("event", "detour_served", "request", request, "outcome", result, "reason", reason)
	w.Header().Set(outcomeHeader, string(result))
	writeJSON(w, http.StatusServiceUnavailable, refusal{Reason: reason[:min(len(reason), maxReasonBytes)]})
}

// ServeProbe tells whether this host can connect to an endpoint.
func (s *Server) ServeProbe(w http.ResponseWriter, r *http.Request) {
	e := s.sender.opts.Endpoint(r.URL.Query().Get("endpoint"))
	switch {
	case e == nil:
		s.refuse(w, "", unlisted, "the host has not read the endpoint's record")
		return
	case !s.sender.links.Connected():
		s.refuse(w, "", stranded, "the host reaches no endpoint")
		return
	}
	var result probeResult
	if err := s.sender.dialDirect(r.Context(), e); err != nil {
		result = probeResult{Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err.Error()}
	}
	writeJSON(w, http.StatusOK, result)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A host that left needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
