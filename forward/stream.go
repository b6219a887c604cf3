package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/sse"
)

// stream forwards a request whose response is an event stream. If the stream breaks
// after its first event and the route allows it, it is resumed at another endpoint,
// within the same response to the client.
func (f *Forwarder) stream(ctx context.Context, w http.ResponseWriter, req *request) {
	s := &streamer{f: f, ctx: ctx, w: w, req: req, order: sse.NewOrder(req.LastEvent)}
	for req.triesLeft() && ctx.Err() == nil {
		t, err := f.attempt(ctx, req, s.order.Last)
		if err != nil {
			s.fail(err)
			return
		}
		if t != nil && s.relay(t) {
			return
		}
	}
	s.fail(nil)
}

// errClientGone means that the stream can't be written to the client.
var errClientGone = errors.New("write to the client failed")

// streamer relays the event stream of one request, over one or more attempts.
type streamer struct {
	f   *Forwarder
	ctx context.Context
	w   http.ResponseWriter
	req *request
	// begun is set once the head of the response is written.
	begun bool
	// order holds the id of the last event passed on, and checks the next ones.
	order sse.Order
}

// fail ends a stream that can't be continued.
func (s *streamer) fail(err error) {
	if !s.begun {
		s.f.giveUp(s.w, s.req, err)
		return
	}
	if s.req.http.Context().Err() != nil {
		s.f.abandoned(s.req)
		return
	}
	s.f.abort(s.req, "stream interrupted and not resumed")
}

// relay passes on the events of an attempt and reports whether the request has ended.
func (s *streamer) relay(t *try) bool {
	if t.verdict == platform.Failed {
		return s.relayFailure(t)
	}
	if !s.begun {
		writeHead(s.w, t.answer)
		s.begun = true
	} else {
		s.f.metrics.resumed.Inc()
	}
	err := s.copyEvents(t)
	if err == nil {
		s.f.metrics.tries.WithLabelValues(string(OutcomeAnswered)).Inc()
		t.end(OutcomeAnswered)
		s.f.finished(s.req, t.answer.Status)
		return true
	}
	outcome := OutcomeCut
	switch {
	case errors.Is(err, errClientGone) || s.ctx.Err() != nil:
		outcome = OutcomeAbandoned
	case t.watch.Over():
		outcome = OutcomeSilent
	}
	s.req.isUnknown()
	s.f.noteTry(s.req, t, outcome, err.Error())
	t.end(outcome)
	return false
}

// relayFailure passes on the failure of an endpoint, unless the head of the response is
// written, or the failure is a server error and the request may be attempted again. It
// reports whether the request has ended.
func (s *streamer) relayFailure(t *try) bool {
	again := t.answer.Status >= http.StatusInternalServerError && s.req.triesLeft()
	if !s.begun && !again {
		if r := s.f.read(s.ctx, s.req, t); r != nil {
			s.f.pass(s.w, s.req, r)
			return true
		}
		return false
	}
	s.f.noteTry(s.req, t, OutcomeFailed, http.StatusText(t.answer.Status))
	t.end(OutcomeFailed)
	return false
}

// copyEvents passes on complete events until the end of the stream. It drops an event
// that was cut off, so that the stream can be resumed at another endpoint.
func (s *streamer) copyEvents(t *try) error {
	events := sse.NewSplitter(t.answer)
	flusher := http.NewResponseController(s.w)
	for {
		block, err := events.Next()
		if err == io.EOF {
			_, err = s.w.Write(events.Rest())
			return err
		}
		if err != nil {
			return err
		}
		if len(block.Events) > 0 {
			// A block of comments only is no progress.
			t.watch.Heard()
		}
		order := s.order
		if err := order.Check(block.Events); err != nil {
			return err
		}
		if _, err := s.w.Write(block.Bytes); err != nil {
			return errors.Wrap(errClientGone, err.Error())
		}
		s.order = order
		if err := flusher.Flush(); err != nil {
			return errors.Wrap(errClientGone, err.Error())
		}
	}
}
