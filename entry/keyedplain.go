package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/dispatch"
)

// keyedPlain answers a call of a plain service that has an identity.
func (e *Entry) keyedPlain(ctx context.Context, w http.ResponseWriter, k *keyedCall, call *dispatch.PlainCall) error {
	// The endpoint gets the request's lasting id, by which it may know a
	// repeated call too.
	call.RequestID = k.id
	call.Request.Header.Set(HeaderRequestID, k.id)
	k.execute = func(ctx context.Context, _ *run) *answer {
		return e.callPlain(ctx, call)
	}
	w.Header().Set(HeaderRequestID, k.id)
	w.Header().Set(HeaderIdempotencyKey, k.key)
	r, err := e.obtain(ctx, k)
	if err != nil {
		return err
	}
	end, err := r.await(ctx)
	if err != nil {
		return err
	}
	if end.Failure != nil {
		return end.Failure
	}
	writeRecording(w, r)
	end.Plain.write(w)
	return nil
}

// callPlain carries the call out and reads the whole answer. An answer that
// breaks off is none: the call has run, and what came of it is not known.
func (e *Entry) callPlain(ctx context.Context, call *dispatch.PlainCall) *answer {
	resp, err := e.opts.Dispatcher.Plain(ctx, call)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := e.answers.read(ctx, resp.Body)
	if err != nil {
		return failed(&dispatch.Error{
			Cause:    errors.Wrap(dispatch.ErrInterrupted, err.Error()),
			RunState: dispatch.Unknown,
		})
	}
	return &answer{Plain: &plainAnswer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get(headerContentType),
		Body:        body,
	}}
}

func (a *plainAnswer) write(w http.ResponseWriter) {
	w.Header().Set(headerContentType, a.ContentType)
	w.Header().Set(HeaderRunState, string(dispatch.Completed))
	w.WriteHeader(a.Status)
	// A failed write means the caller has gone; there is nobody to tell.
	_, _ = io.Copy(w, bytes.NewReader(a.Body))
}
