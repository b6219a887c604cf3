package engine

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/upstream"
)

// watchWrites returns a context that notes in the flag whether a connection
// was obtained, after which bytes of the request may have been sent.
func watchWrites(ctx context.Context) (context.Context, *atomic.Bool) {
	wrote := new(atomic.Bool)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), wrote
}

// send sends req and turns the outcome into this layer's errors. A refusal of
// status 4xx or 503 is made by the endpoint before it admits the request.
func send(client *http.Client, req *http.Request, wrote *atomic.Bool) (*http.Response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, sendError(err, wrote)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	_ = resp.Body.Close()
	if resp.Header.Get(ReasonHeader) == ReasonLeaving {
		return nil, ErrLeaving
	}
	if resp.StatusCode < http.StatusInternalServerError || resp.StatusCode == http.StatusServiceUnavailable {
		return nil, errors.Wrapf(ErrRefused, "status %d", resp.StatusCode)
	}
	return nil, errors.Wrapf(ErrBroken, "status %d", resp.StatusCode)
}

// sendError turns the error of a request without a response into this layer's. A connection may
// also have been one to a host that did not make the call.
func sendError(err error, wrote *atomic.Bool) error {
	if wrote.Load() && !errors.Is(err, upstream.ErrNotSent) {
		return errors.Wrap(ErrBroken, err.Error())
	}
	return errors.Wrap(ErrUnreachable, err.Error())
}
