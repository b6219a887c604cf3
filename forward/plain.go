package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/disconnect"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/upstream"
)

// servePlain forwards a request whose response is no event stream.
func (f *Forwarder) servePlain(ctx context.Context, w http.ResponseWriter, req *request) {
	for req.hasAttemptsLeft() && ctx.Err() == nil {
		r, err := f.exchangeHedged(ctx, req)
		if err != nil {
			f.failRequest(w, req, err)
			return
		}
		if r != nil {
			f.writeReply(ctx, w, req, r)
			return
		}
	}
	f.failRequest(w, req, nil)
}

// reply is a response whose body is buffered up to maxBufferedBytes.
type reply struct {
	*attempt
	body []byte
	// complete is set if body holds the complete response body.
	complete bool
}

// exchange makes one attempt and reads the response. It returns nil and no error if the
// attempt failed and the request may be attempted again.
func (f *Forwarder) exchange(ctx context.Context, req *request) (*reply, error) {
	a, err := f.sendAttempt(ctx, req, "")
	if a == nil || err != nil {
		return nil, err
	}
	return f.readReply(ctx, req, a), nil
}

// readReply reads the body of a response, up to maxBufferedBytes. It ends the attempt and
// returns nil if the body ended early, or if the response is a server error and the
// request may be attempted again.
func (f *Forwarder) readReply(ctx context.Context, req *request, a *attempt) *reply {
	if a.verdict == platform.Failed && a.response.Status >= http.StatusInternalServerError && req.hasAttemptsLeft() {
		f.recordAttempt(req, a, OutcomeFailed, http.StatusText(a.response.Status))
		a.release(OutcomeFailed)
		return nil
	}
	body, whole, err := readBuffered(a)
	if err == nil {
		return &reply{attempt: a, body: body, complete: whole}
	}
	outcome := OutcomeTruncated
	switch {
	case errors.Is(context.Cause(ctx), errHedgeLost):
		outcome = OutcomeHedgeLost
	case ctx.Err() != nil:
		outcome = OutcomeAbandoned
	case errors.Is(err, upstream.ErrPathLost):
		outcome = OutcomePathLost
	}
	req.setIncomplete()
	f.recordAttempt(req, a, outcome, err.Error())
	a.release(outcome)
	return nil
}

// readBuffered reads the body of a response, up to maxBufferedBytes, or up to freeBufferedBytes if
// there is no memory for more. It reports whether it reached the end.
func readBuffered(a *attempt) (body []byte, complete bool, err error) {
	length := min(max(a.response.Length, 512), maxBufferedBytes)
	body = make([]byte, 0, min(length, freeBufferedBytes))
	body, complete, err = readUpTo(a.response, body, freeBufferedBytes)
	if complete || err != nil {
		return body, complete, err
	}
	if a.response.Length < 0 {
		length = maxBufferedBytes
	}
	if !a.reserve(length) {
		return body, false, nil
	}
	if a.response.Length >= 0 {
		body = append(make([]byte, 0, length), body...)
	}
	body, complete, err = readUpTo(a.response, body, maxBufferedBytes)
	if complete {
		a.reserveOnly(int64(cap(body)))
	}
	return body, complete, err
}

// writeReply writes a reply to the client, with the rest of a body that was not buffered in
// full, and ends the request.
func (f *Forwarder) writeReply(ctx context.Context, w http.ResponseWriter, req *request, r *reply) {
	writeHead(w, r.response)
	req.open = r.response.Open
	req.phase = passingResponse
	out := newClientWriter(w, req.deadline.Add(writeGrace))
	_, err := out.Write(r.body)
	if err == nil && !r.complete {
		// The buffer is free again. Response and ResponseWriter would bring buffers of their own.
		_, err = io.CopyBuffer(out, struct{ io.Reader }{r.response}, r.body[:cap(r.body)])
	}
	if err != nil {
		outcome := OutcomeTruncated
		if out.failed {
			outcome = OutcomeAbandoned
		}
		r.release(outcome)
		f.abort(req, "response interrupted: "+err.Error(), interrupted(req.http.Context(), ctx, err, f.unlessShutDown(ending(disconnect.Failed))))
	}
	outcome := OutcomeAnswered
	if r.verdict == platform.Failed {
		outcome = OutcomeFailed
	}
	f.metrics.attempts.WithLabelValues(string(outcome)).Inc()
	status := r.response.Status
	r.release(outcome)
	f.finish(req, status)
}

// readUpTo appends a body to buf, until its end or until buf holds limit bytes. It
// reports whether it reached the end.
func readUpTo(r io.Reader, buf []byte, limit int) (body []byte, complete bool, err error) {
	for len(buf) < limit {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, true, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
	return buf, false, nil
}
