package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpjson"
)

const (
	// tries bounds how often a call that may be repeated is sent.
	tries = 20
	// shortestWait is the pause before a call is sent again, if the answer
	// doesn't ask for a longer one.
	shortestWait = 200 * time.Millisecond
	jsonType     = "application/json"
)

// call is one call to a callers' listener.
type call struct {
	method string
	url    string
	key    string
	kind   string
	body   []byte
}

// send sends c until it is answered with success, as long as the answer says
// that it may be sent again.
func (r *Runner) send(ctx context.Context, c *call) (*http.Response, error) {
	var last error
	for range tries {
		resp, err := r.once(ctx, c)
		if err == nil {
			return resp, nil
		}
		last = err
		var refusal *refusedError
		if !errors.As(err, &refusal) || refusal.wait == 0 {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(refusal.wait):
		}
	}
	return nil, last
}

func (r *Runner) once(ctx context.Context, c *call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, c.url, bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", c.kind)
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, httpjson.MaxRequestBytes))
	status := &httpjson.StatusError{Status: resp.StatusCode, Body: string(body)}
	return nil, &refusedError{StatusError: status, wait: waitOf(resp)}
}

func waitOf(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return max(time.Duration(seconds)*time.Second, shortestWait)
}

// sendJSON sends in as JSON and decodes the answer into out.
func (r *Runner) sendJSON(ctx context.Context, method, url, key string, in, out any) error {
	c := &call{method: method, url: url, key: key, kind: jsonType}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		c.body = body
	}
	resp, err := r.send(ctx, c)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), "decode answer")
}
