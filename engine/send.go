package engine

import (
	"net/http"

	"github.com/pkg/errors"
)

// send sends req and turns the outcome into this layer's errors. A refusal of
// status 4xx or 503 is made by the endpoint before it admits the request.
func send(client *http.Client, req *http.Request) (*http.Response, error) {
	c, req := newCall(req)
	resp, err := c.do(client, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	_ = resp.Body.Close()
	if resp.Header.Get(ReasonHeader) == ReasonLeaving {
		return nil, c.refused(resp, ErrLeaving)
	}
	if resp.StatusCode < http.StatusInternalServerError || resp.StatusCode == http.StatusServiceUnavailable {
		return nil, c.refused(resp, errors.Wrapf(ErrRefused, "status %d", resp.StatusCode))
	}
	return nil, errors.Wrapf(ErrBroken, "status %d", resp.StatusCode)
}
