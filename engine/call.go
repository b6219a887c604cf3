package engine

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpstatus"
	"github.com/peridotmount/peridotmount/upstream"
)

// CallHeader names a call to an endpoint, no two of them alike. Endpoints echo it in their
// answers: without it, a refusal on a reused connection may be that of an earlier call.
const CallHeader = "Endpoint-Call"

// callPrefix tells the calls of this process from those of others.
var callPrefix = rand.Text()

// calls counts the calls of this process.
var calls atomic.Int64

// call is one call to an endpoint.
type call struct {
	id string
	// sent is set once a connection was obtained, after which bytes of the request may have
	// been sent. reused is set if an earlier call used the connection.
	sent, reused atomic.Bool
}

// newCall names a request and watches its connection. It returns the request to send.
func newCall(req *http.Request) (*call, *http.Request) {
	c := &call{id: fmt.Sprintf("%s-%d", callPrefix, calls.Add(1))}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c.reused.Store(info.Reused)
			c.sent.Store(true)
		},
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.Header.Set(CallHeader, c.id)
	return c, req
}

// do sends the request. The error is ErrUnreachable or ErrBroken.
func (c *call) do(client *http.Client, req *http.Request) (*http.Response, error) {
	resp, err := client.Do(req)
	switch {
	case err != nil && c.sent.Load() && !errors.Is(err, upstream.ErrNotSent):
		return nil, errors.Wrap(ErrBroken, err.Error())
	case err != nil:
		// The connection may also have been one to a host that did not make the call.
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	if err := httpstatus.CheckResponse(resp); err != nil {
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	if named := resp.Header.Get(CallHeader); named != "" && named != c.id {
		_ = resp.Body.Close()
		return nil, errors.Wrap(ErrBroken, "answer to another call")
	}
	return resp, nil
}

// refused returns the error of a refusal: cause, or ErrBroken if the refusal may be that of
// an earlier call on the connection.
func (c *call) refused(resp *http.Response, cause error) error {
	if resp.Header.Get(CallHeader) == "" && c.reused.Load() {
		return errors.Wrapf(ErrBroken, "status %d, perhaps of an earlier call", resp.StatusCode)
	}
	return cause
}
