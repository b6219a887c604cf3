package endpointlimit

import (
	"net/http"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/platform"
)

// Transport returns a transport that sends the calls to endpoints over base. A call that an
// endpoint's limit does not admit is not sent: its response is 503, as from an endpoint that
// refuses it before it does any work.
func (l *Limiter) Transport(base http.RoundTripper) http.RoundTripper {
	return &transport{limiter: l, base: base}
}

type transport struct {
	limiter *Limiter
	base    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	h := t.limiter.endpointAt(r.URL.Host)
	if h == nil {
		return t.base.RoundTrip(r)
	}
	if retryAfter, ok := t.limiter.take(h, r.Method == http.MethodDelete); !ok {
		if r.Body != nil {
			_ = r.Body.Close()
		}
		header := make(http.Header)
		platform.SetRetryAfter(header, retryAfter)
		return &http.Response{
			Status: "503 Service Unavailable", StatusCode: http.StatusServiceUnavailable,
			Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header, Body: http.NoBody, Request: r,
		}, nil
	}
	sent := clock.Now()
	response, err := t.base.RoundTrip(r)
	if err == nil {
		t.limiter.answered(h, sent, response.Header)
	}
	return response, err
}
