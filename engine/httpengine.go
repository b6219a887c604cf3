package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpjson"
)

// ReasonHeader names why an endpoint refused a request.
const ReasonHeader = "Endpoint-Reason"

// ReasonLeaving is the reason of an endpoint that is leaving.
const ReasonLeaving = "leaving"

// maxControlBytes bounds an answer that is no stream: a load report takes 100 bytes, a state 100 for
// each artifact. All endpoints of a fleet are asked at a time, so it is far below what a host has.
const maxControlBytes = 256 << 10

// HTTPEngine is an Engine reached over HTTP.
type HTTPEngine struct {
	base   string
	client *http.Client
	calls  *httpjson.Client
}

// NewHTTPEngine returns an Engine that calls the endpoint at base.
func NewHTTPEngine(base string, client *http.Client) *HTTPEngine {
	return &HTTPEngine{base: base, client: client, calls: httpjson.NewClient(base, client).WithMaxResponseBytes(maxControlBytes)}
}

// Start implements Engine.
func (e *HTTPEngine) Start(ctx context.Context, req StreamRequest) (Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(ErrRefused, err.Error())
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := e.post(ctx, body)
	if err != nil {
		cancel()
		return nil, err
	}
	return newHTTPStream(resp.Body, cancel, req.StreamID, len(req.Prior)), nil
}

// Resume implements Engine.
func (e *HTTPEngine) Resume(ctx context.Context, streamID string, offset int) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := e.reopen(ctx, streamID, offset)
	if err != nil {
		cancel()
		return nil, err
	}
	return newHTTPStream(resp.Body, cancel, streamID, offset), nil
}

func (e *HTTPEngine) reopen(ctx context.Context, streamID string, offset int) (*http.Response, error) {
	target := fmt.Sprintf("%s/streams/%s?offset=%d", e.base, url.PathEscape(streamID), offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return send(e.client, req)
}

func (e *HTTPEngine) post(ctx context.Context, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/streams", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	return send(e.client, req)
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, streamID string) error {
	return e.call(ctx, http.MethodDelete, "/streams/"+url.PathEscape(streamID), nil, nil)
}

// Load implements Engine.
func (e *HTTPEngine) Load(ctx context.Context) (LoadReport, error) {
	var out LoadReport
	err := e.call(ctx, http.MethodGet, "/load", nil, &out)
	return out, err
}

// Order implements Engine.
func (e *HTTPEngine) Order(ctx context.Context, order Order) error {
	return e.call(ctx, http.MethodPost, "/orders", order, nil)
}

// State implements Engine.
func (e *HTTPEngine) State(ctx context.Context) (State, error) {
	var out State
	err := e.call(ctx, http.MethodGet, "/state", nil, &out)
	return out, err
}

// CacheEvents implements Engine.
func (e *HTTPEngine) CacheEvents(ctx context.Context, from int64) ([]CacheEvent, error) {
	var out []CacheEvent
	err := e.call(ctx, http.MethodGet, fmt.Sprintf("/cache-events?from=%d", from), nil, &out)
	return out, err
}

func (e *HTTPEngine) call(ctx context.Context, method, path string, in, out any) error {
	err := e.calls.Do(ctx, method, path, in, out)
	switch {
	case err == nil:
		return nil
	case httpjson.StatusOf(err) == http.StatusConflict:
		return errors.Wrap(ErrStaleFencing, err.Error())
	case httpjson.StatusOf(err) != 0:
		return errors.Wrap(ErrRefused, err.Error())
	default:
		return errors.Wrap(ErrUnreachable, err.Error())
	}
}
