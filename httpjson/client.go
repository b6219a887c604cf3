package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpstatus"
)

const (
	// MaxResponseBytes bounds the body of an answer that a Client reads, unless it has a
	// limit of its own.
	MaxResponseBytes = 64 << 20
	// maxErrorBytes is how much of the body of an answer of status 400 or more is kept.
	maxErrorBytes = 4 << 10
)

// Client sends JSON requests to one base URL.
type Client struct {
	base   string
	client *http.Client
	secret string
	// maxBytes bounds the body of an answer.
	maxBytes int64
}

// NewClient returns a Client for the service at base. A nil client means
// http.DefaultClient.
func NewClient(base string, client *http.Client) *Client {
	if client == nil {
		client = http.DefaultClient
	}
	return &Client{base: strings.TrimRight(base, "/"), client: client, maxBytes: MaxResponseBytes}
}

// WithSecret returns a copy of c that sends secret as its bearer token.
func (c *Client) WithSecret(secret string) *Client {
	out := *c
	out.secret = secret
	return &out
}

// WithMaxResponseBytes returns a copy of c that takes no larger body than so many bytes.
func (c *Client) WithMaxResponseBytes(most int64) *Client {
	out := *c
	out.maxBytes = most
	return &out
}

// Do sends in as a JSON body, unless it is nil, and decodes the answer into
// out, unless that is nil. An answer of status 400 or more is a *StatusError, which holds the
// first 4 KB of its body. A body over the limit is ErrTooLong, and an answer without a status of HTTP
// httpstatus.ErrInvalid.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	req, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call "+path)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := httpstatus.Check(resp.StatusCode); err != nil {
		return errors.Wrap(err, "answer of "+path)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		if err != nil {
			return errors.Wrap(err, "read answer of "+path)
		}
		return &StatusError{Status: resp.StatusCode, Body: strings.TrimSpace(string(body))}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBytes+1))
	if err != nil {
		return errors.Wrap(err, "read answer of "+path)
	}
	if int64(len(body)) > c.maxBytes {
		return errors.Wrapf(ErrTooLong, "answer of %s exceeds %d bytes", path, c.maxBytes)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, out), "decode answer of "+path)
}

func (c *Client) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode request of "+path)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request of "+path)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.secret != "" {
		req.Header.Set("Authorization", "Bearer "+c.secret)
	}
	return req, nil
}
