package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// HTTPPlain is a Plain reached over HTTP.
type HTTPPlain struct {
	base   string
	client *http.Client
}

// NewHTTPPlain returns a Plain that calls the endpoint at base.
func NewHTTPPlain(base string, client *http.Client) *HTTPPlain {
	return &HTTPPlain{base: base, client: client}
}

// Call implements Plain. The answer of an endpoint that ran the call is
// returned as it is, whatever its status; only a refusal that carries
// ReasonHeader counts as not run.
func (p *HTTPPlain) Call(ctx context.Context, req *http.Request) (*http.Response, error) {
	target, err := url.Parse(p.base)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	c, out := newCall(req.Clone(ctx))
	out.RequestURI = ""
	sendOnce(out)
	out.URL.Scheme = target.Scheme
	out.URL.Host = target.Host
	out.Host = target.Host
	resp, err := c.do(p.client, out)
	if err != nil {
		return nil, err
	}
	return p.sort(c, resp)
}

// sendOnce keeps the transport from sending a request again by itself when a
// reused connection breaks: it does so for the safe methods if the body can be
// had again, and even a call of those may be one that must not be repeated.
func sendOnce(req *http.Request) {
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(strings.NewReader(""))
	}
}

func (p *HTTPPlain) sort(c *call, resp *http.Response) (*http.Response, error) {
	reason := resp.Header.Get(ReasonHeader)
	if reason == "" {
		return resp, nil
	}
	_ = resp.Body.Close()
	if reason == ReasonLeaving {
		return nil, c.refused(resp, ErrLeaving)
	}
	return nil, c.refused(resp, errors.Wrap(ErrRefused, reason))
}
