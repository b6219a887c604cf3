package detour

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpstatus"
	"github.com/peridotmount/peridotmount/upstream"
)

// HTTPPool sends calls over an http.RoundTripper to endpoints whose addresses are base URLs.
type HTTPPool struct {
	// Transport sends the calls.
	Transport http.RoundTripper
	// Dial connects to an endpoint at a host and port.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// CloseIdle closes the idle connections to all endpoints.
	CloseIdle func()
}

// Send implements upstream.Sender. The response to an HTTP/1 request is the next on its
// connection, so that Call.Matches is not asked.
func (p *HTTPPool) Send(ctx context.Context, _, address string, call *upstream.Call) (*upstream.Response, error) {
	req, err := newEndpointRequest(ctx, address, call)
	if err != nil {
		return nil, errors.Wrap(upstream.ErrNotSent, err.Error())
	}
	resp, err := roundTrip(p.Transport, req)
	if err != nil {
		return nil, err
	}
	if call.OnResponse != nil {
		call.OnResponse(resp.StatusCode, resp.Header)
	}
	out := upstream.NewRelayedResponse("", resp.StatusCode, resp.Header, resp.ContentLength, resp.Body)
	out.Open = upstream.IsOpen(resp)
	if out.Open {
		out.ConfirmEnd(func() error { return p.Probe(ctx, "", address) })
	}
	return out, nil
}

// newEndpointRequest returns the request of a call to the endpoint at a base URL. Its body can't
// be had again, so that a transport does not send it twice by itself.
func newEndpointRequest(ctx context.Context, address string, call *upstream.Call) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.Target)
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	base, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "address of the endpoint")
	}
	target.Scheme, target.Host = base.Scheme, base.Host
	// An empty body too: requests that net/http knows to have none are sent again.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, target.String(), body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.ContentLength = int64(len(call.Body))
	req.Host = call.Host
	if call.Header != nil {
		req.Header = call.Header
	}
	return req, nil
}

// roundTrip sends a request. The error is ErrNotSent if there was no connection to send it on,
// and ErrNoResponse otherwise.
func roundTrip(transport http.RoundTripper, r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		err = httpstatus.CheckResponse(resp)
	}
	switch {
	case err == nil:
		return resp, nil
	case connected.Load():
		return nil, errors.Wrap(upstream.ErrNoResponse, err.Error())
	default:
		return nil, errors.Wrap(upstream.ErrNotSent, err.Error())
	}
}

// Probe implements Pool.
func (p *HTTPPool) Probe(ctx context.Context, _, address string) error {
	base, err := url.Parse(address)
	if err != nil {
		return errors.Wrap(err, "address of the endpoint")
	}
	conn, err := p.Dial(ctx, "tcp", HostPort(base))
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	return errors.Wrap(conn.Close(), "close")
}

// CloseAllIdle implements Pool.
func (p *HTTPPool) CloseAllIdle() {
	p.CloseIdle()
}

// HostPort returns the host and port that a URL names or implies.
func HostPort(u *url.URL) string {
	switch {
	case u.Port() != "":
		return u.Host
	case u.Scheme == "https":
		return net.JoinHostPort(u.Hostname(), "443")
	default:
		return net.JoinHostPort(u.Hostname(), "80")
	}
}
