package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/sse"
	"github.com/peridotmount/peridotmount/upstream"
)

// serveStream forwards a request whose response is an event stream. If the stream
// breaks after its first event and the route allows it, it is resumed at another
// endpoint, within the same response to the client.
func (f *Forwarder) serveStream(ctx context.Context, w http.ResponseWriter, req *request) {
	s := &streamer{f: f, ctx: ctx, w: w, req: req, eventOrder: sse.NewOrderChecker(req.LastEvent)}
	for req.hasAttemptsLeft() && !s.eventOrder.Unnumbered && ctx.Err() == nil {
		a, err := f.sendAttempt(ctx, req, s.eventOrder.LastID)
		if err != nil {
			s.fail(err)
			return
		}
		if a != nil && s.relay(a) {
			return
		}
	}
	s.fail(nil)
}

// errClientWrite means that the stream can't be written to the client.
var errClientWrite = errors.New("write to the client failed")

// errInsideEvent means that an endpoint ended its stream inside an event.
var errInsideEvent = errors.New("stream ended inside an event")

// errNoStream means that the response of an endpoint is a success, but no event stream.
var errNoStream = errors.New("response is no event stream")

// errNoEvents means that a stream ended without any event. One that goes on behind the last
// event may, if its response says where it ends.
var errNoEvents = errors.New("stream ended before its first event")

// streamer relays the event stream of one request, over one or more attempts.
type streamer struct {
	f   *Forwarder
	ctx context.Context
	w   http.ResponseWriter
	req *request
	// headWritten is set once the head of the response is written.
	headWritten bool
	// eventOrder holds the id of the last event passed on, and checks the next ones.
	eventOrder sse.OrderChecker
}

// fail ends a stream that can't be continued.
func (s *streamer) fail(err error) {
	if !s.headWritten {
		s.f.failRequest(s.w, s.req, err)
		return
	}
	if s.f.clientLeft(s.req.http.Context()) {
		s.f.finishDisconnected(s.req)
		return
	}
	s.f.abort(s.req, "stream interrupted and not resumed", interrupted(s.req.http.Context(), s.ctx, nil, s.f.unlessShutDown(streamNotResumed)))
}

// relay passes on the events of an attempt and reports whether the request has ended.
func (s *streamer) relay(a *attempt) bool {
	if a.verdict == platform.Failed {
		return s.relayFailure(a)
	}
	if !sse.IsStream(a.response.Status, a.response.Header.Get("Content-Type")) {
		s.end(a, OutcomeUnknown, errNoStream)
		return false
	}
	if !s.headWritten {
		// The stream may go on at another endpoint, and then have another length.
		a.response.Header.Del("Content-Length")
		writeHead(s.w, a.response)
		s.headWritten = true
		s.req.phase = passingResponse
	} else {
		s.eventOrder.Resume()
		s.f.metrics.resumed.Inc()
	}
	s.req.open = a.response.Open
	err := s.copyEvents(a)
	if err == nil {
		s.f.metrics.attempts.WithLabelValues(string(OutcomeAnswered)).Inc()
		a.release(OutcomeAnswered)
		s.f.finish(s.req, a.response.Status)
		return true
	}
	outcome := OutcomeTruncated
	switch {
	case errors.Is(err, errClientWrite) || s.ctx.Err() != nil:
		outcome = OutcomeAbandoned
	case a.watch.TimedOut():
		outcome = OutcomeTimedOut
	case errors.Is(err, upstream.ErrPathLost):
		outcome = OutcomePathLost
	}
	s.end(a, outcome, err)
	return false
}

// end ends an attempt that did not complete the stream.
func (s *streamer) end(a *attempt, outcome Outcome, err error) {
	s.req.setIncomplete()
	s.f.recordAttempt(s.req, a, outcome, err.Error())
	a.release(outcome)
}

// relayFailure passes on the failure of an endpoint, unless the head of the response is
// written, or the failure is a server error and the request may be attempted again. It
// reports whether the request has ended.
func (s *streamer) relayFailure(a *attempt) bool {
	retry := a.response.Status >= http.StatusInternalServerError && s.req.hasAttemptsLeft()
	if !s.headWritten && !retry {
		if r := s.f.readReply(s.ctx, s.req, a); r != nil {
			s.f.writeReply(s.ctx, s.w, s.req, r)
			return true
		}
		return false
	}
	s.f.recordAttempt(s.req, a, OutcomeFailed, http.StatusText(a.response.Status))
	a.release(OutcomeFailed)
	return false
}

// copyEvents passes on complete events until the end of the stream. It drops an event
// that was cut off, so that the stream can be resumed at another endpoint.
func (s *streamer) copyEvents(a *attempt) error {
	events := sse.NewSplitter(a.response)
	out := newClientWriter(s.w, s.req.deadline.Add(writeGrace))
	for {
		block, err := events.Next()
		if err == io.EOF {
			if events.InsideEvent() {
				return errors.Wrapf(errInsideEvent, "%d bytes of it arrived", len(events.Remainder()))
			}
			if a.usage.Events == 0 && (s.eventOrder.LastID == "" || a.response.Open) {
				return errors.WithStack(errNoEvents)
			}
			if _, err = out.Write(events.Remainder()); err != nil {
				return errors.Wrap(errClientWrite, err.Error())
			}
			return nil
		}
		if err != nil {
			return err
		}
		if len(block.Events) > 0 {
			// A block of comments only is no progress.
			a.watch.RecordEvent()
		}
		order := s.eventOrder
		if err := order.Check(block.Events); err != nil {
			return err
		}
		if version := a.version(); len(block.Events) > 0 && s.req.setVersion(version) {
			s.f.opts.OnBegun(s.req.ID, version)
		}
		if _, err := out.Write(block.Bytes); err != nil {
			return errors.Wrap(errClientWrite, err.Error())
		}
		s.eventOrder = order
		a.countEvents(len(block.Events))
		if err := out.control.Flush(); err != nil {
			return errors.Wrap(errClientWrite, err.Error())
		}
	}
}
