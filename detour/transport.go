package detour

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/upstream"
)

// Transport is an http.RoundTripper that sends calls to endpoints, over this host's own links or
// through another host. It is safe for concurrent use.
type Transport struct {
	sender *Sender
	base   http.RoundTripper
	id     func(u *url.URL) string
}

// NewTransport returns a Transport that sends calls over this host's own links by base. The
// function id returns the id of the endpoint at a URL, or "" if there is none; requests to others
// are left to base.
func NewTransport(s *Sender, base http.RoundTripper, id func(u *url.URL) string) *Transport {
	return &Transport{sender: s, base: base, id: id}
}

// requestKey is the key of a request's id in its context.
type requestKey struct{}

// WithRequest returns a context with the id of the request that calls are made for, which helping
// hosts log.
func WithRequest(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

// RoundTrip implements http.RoundTripper. Errors are those of Sender.Send.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	id := t.id(r.URL)
	if id == "" {
		return t.base.RoundTrip(r)
	}
	body := newHeldBody(r)
	resp, err := choosePath(r.Context(), t.sender.links, id,
		func() (*http.Response, error) {
			silent := time.AfterFunc(suspectAfter, t.sender.links.Suspect)
			defer silent.Stop()
			resp, err := roundTrip(t.base, body.request(r))
			if err != nil {
				return nil, err
			}
			t.confirmEnd(r, id, resp)
			return resp, nil
		},
		func() (*http.Response, error) { return t.indirect(r, id, body) })
	if err != nil {
		body.discard()
	}
	return resp, err
}

// confirmEnd has the end of a body that states none confirmed by its endpoint, which has to be alive.
func (t *Transport) confirmEnd(r *http.Request, id string, resp *http.Response) {
	if resp.ProtoMajor != 1 || !upstream.IsOpen(resp) || resp.Body == http.NoBody {
		return
	}
	open := upstream.NewRelayedResponse("", resp.StatusCode, resp.Header, resp.ContentLength, resp.Body)
	open.Open = true
	address := (&url.URL{Scheme: r.URL.Scheme, Host: r.URL.Host}).String()
	open.ConfirmEnd(func() error { return t.sender.opts.Pool.Probe(r.Context(), id, address) })
	resp.Body = &responseBody{open}
}

// indirect has another host make a call.
func (t *Transport) indirect(r *http.Request, id string, body *heldBody) (*http.Response, error) {
	content, err := body.readAll()
	if err != nil {
		return nil, errors.Wrap(upstream.ErrNotSent, err.Error())
	}
	call := &upstream.Call{
		Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host, Header: r.Header, Body: content,
	}
	call.Request, _ = r.Context().Value(requestKey{}).(string)
	resp, err := t.sender.sendThroughHelper(r.Context(), id, call)
	if err != nil {
		return nil, err
	}
	return &http.Response{
		Status: http.StatusText(resp.Status), StatusCode: resp.Status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: resp.Header, ContentLength: resp.Length, Body: &responseBody{resp}, Request: r,
	}, nil
}

// responseBody is the body of a response that another host passes on.
type responseBody struct {
	*upstream.Response
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.Response.Close()
	return nil
}

// heldBody is the body of a request, which a transport that could not connect leaves unread.
type heldBody struct {
	body io.ReadCloser
	// started is set once it was read from, content is what was read by readAll.
	started atomic.Bool
	content []byte
}

func newHeldBody(r *http.Request) *heldBody {
	if r.Body == nil {
		return &heldBody{body: http.NoBody}
	}
	return &heldBody{body: r.Body}
}

// request returns a copy of a request for one attempt to send it.
func (b *heldBody) request(r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		return r
	}
	out := *r
	out.Body = b
	if b.content != nil {
		out.Body = io.NopCloser(bytes.NewReader(b.content))
	}
	return &out
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	return b.body.Read(p)
}

// Close implements io.Closer. A body that was not read from is kept for the next attempt.
func (b *heldBody) Close() error {
	if !b.started.Load() {
		return nil
	}
	return b.body.Close()
}

// readAll reads the body.
func (b *heldBody) readAll() ([]byte, error) {
	if b.content != nil {
		return b.content, nil
	}
	b.started.Store(true)
	content, err := io.ReadAll(b.body)
	if err != nil {
		return nil, errors.Wrap(err, "body of the request")
	}
	b.content = content
	return content, errors.Wrap(b.body.Close(), "close body")
}

// discard closes a body that was not read from.
func (b *heldBody) discard() {
	if !b.started.Load() {
		_ = b.body.Close()
	}
}
