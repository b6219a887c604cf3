package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/peridotmount/peridotmount/platform"
)

// plain carries a request with one answer.
func (f *Forwarder) plain(ctx context.Context, w http.ResponseWriter, req *request) {
	for req.triesLeft() && ctx.Err() == nil {
		t, err := f.attempt(ctx, req, "")
		if err != nil {
			f.giveUp(w, req, err)
			return
		}
		if t != nil && f.settle(w, req, t) {
			return
		}
	}
	f.giveUp(w, req, nil)
}

// settle passes an answer on and reports whether it ended the request.
func (f *Forwarder) settle(w http.ResponseWriter, req *request, t *try) bool {
	if t.verdict == platform.Failed && t.answer.Status >= http.StatusInternalServerError && req.triesLeft() {
		f.noteTry(req, t, OutcomeFailed, http.StatusText(t.answer.Status))
		t.end(OutcomeFailed)
		return false
	}
	head := make([]byte, 0, min(max(t.answer.Length, 512), wholeAnswerBytes))
	head, whole, err := readUpTo(t.answer, head, wholeAnswerBytes)
	if err != nil {
		req.unknown = true
		f.noteTry(req, t, OutcomeCut, err.Error())
		t.end(OutcomeCut)
		return false
	}
	if whole {
		t.answer.Close()
	}
	writeHead(w, t.answer)
	_, err = w.Write(head)
	if err == nil && !whole {
		_, err = io.Copy(w, t.answer)
	}
	if err != nil {
		t.end(OutcomeCut)
		f.abort(req, "answer broke off: "+err.Error())
	}
	outcome := OutcomeAnswered
	if t.verdict == platform.Failed {
		outcome = OutcomeFailed
	}
	f.metrics.tries.WithLabelValues(string(outcome)).Inc()
	t.end(outcome)
	f.finished(req, t.answer.Status)
	return true
}

// readUpTo reads a body to its end, or until limit bytes are read.
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
