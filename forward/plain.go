package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// plain forwards a request whose response is no event stream.
func (f *Forwarder) plain(ctx context.Context, w http.ResponseWriter, req *request) {
	for req.triesLeft() && ctx.Err() == nil {
		r, err := f.fastest(ctx, req)
		if err != nil {
			f.giveUp(w, req, err)
			return
		}
		if r != nil {
			f.pass(w, req, r)
			return
		}
	}
	f.giveUp(w, req, nil)
}

// reply is a response whose body is buffered up to wholeAnswerBytes.
type reply struct {
	*try
	body []byte
	// whole is set if body holds the complete response body.
	whole bool
}

// exchange makes one attempt and reads the response. It returns nil and no error if the
// attempt failed and the request may be attempted again.
func (f *Forwarder) exchange(ctx context.Context, req *request) (*reply, error) {
	t, err := f.attempt(ctx, req, "")
	if t == nil || err != nil {
		return nil, err
	}
	return f.read(ctx, req, t), nil
}

// read reads the body of a response, up to wholeAnswerBytes. It ends the attempt and
// returns nil if the body ended early, or if the response is a server error and the
// request may be attempted again.
func (f *Forwarder) read(ctx context.Context, req *request, t *try) *reply {
	if t.verdict == platform.Failed && t.answer.Status >= http.StatusInternalServerError && req.triesLeft() {
		f.noteTry(req, t, OutcomeFailed, http.StatusText(t.answer.Status))
		t.end(OutcomeFailed)
		return nil
	}
	body := make([]byte, 0, min(max(t.answer.Length, 512), wholeAnswerBytes))
	body, whole, err := readUpTo(t.answer, body, wholeAnswerBytes)
	if err == nil {
		return &reply{try: t, body: body, whole: whole}
	}
	outcome := OutcomeCut
	switch {
	case errors.Is(context.Cause(ctx), errOvertaken):
		outcome = OutcomeOvertaken
	case ctx.Err() != nil:
		outcome = OutcomeAbandoned
	}
	req.isUnknown()
	f.noteTry(req, t, outcome, err.Error())
	t.end(outcome)
	return nil
}

// pass writes a reply to the client, with the rest of a body that was not buffered in
// full, and ends the request.
func (f *Forwarder) pass(w http.ResponseWriter, req *request, r *reply) {
	writeHead(w, r.answer)
	_, err := w.Write(r.body)
	if err == nil && !r.whole {
		_, err = io.Copy(w, r.answer)
	}
	if err != nil {
		r.end(OutcomeCut)
		f.abort(req, "response interrupted: "+err.Error())
	}
	outcome := OutcomeAnswered
	if r.verdict == platform.Failed {
		outcome = OutcomeFailed
	}
	f.metrics.tries.WithLabelValues(string(outcome)).Inc()
	status := r.answer.Status
	r.end(outcome)
	f.finished(req, status)
}

// readUpTo appends a body to buf, until its end or until buf holds limit bytes. It
// reports whether it reached the end.
func readUpTo(r io.Reader, buf []byte, limit int) (body []byte, whole bool, err error) {
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
