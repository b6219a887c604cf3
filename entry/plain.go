package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/objects"
)

// plainCall passes a call on to a plain service.
func (e *Entry) plainCall(w http.ResponseWriter, r *http.Request, c *caller) error {
	name := r.PathValue("service")
	service := c.set.Services[name]
	if service == nil || service.Kind != objects.ServicePlain || !c.customer.MayUse(name) {
		failure := invalid("service", "no plain service "+name+" for the customer")
		failure.Status, failure.Code, failure.certain = http.StatusNotFound, CodeNotFound, false
		return failure
	}
	c.service = name
	body, err := e.readBody(w, r)
	if err != nil {
		return err
	}
	ctx, cancel, deadline, err := withDeadline(r)
	if err != nil {
		return err
	}
	defer cancel()
	call := &dispatch.PlainCall{
		RequestID: c.id,
		Customer:  c.customer,
		Service:   service,
		Class:     c.class,
		Request:   plainRequest(r, name, body, c.id),
	}
	k, err := e.newKeyedCall(r, c, body, service.Idempotent)
	if err != nil {
		return err
	}
	if k == nil {
		return e.unkeyedPlain(ctx, w, call)
	}
	if k.resume != nil {
		return invalid(headerLastEventID, "only a streamed completion is resumed")
	}
	k.deadline = deadline
	return e.keyedPlain(ctx, w, k, call)
}

// unkeyedPlain passes the answer on as it comes.
func (e *Entry) unkeyedPlain(ctx context.Context, w http.ResponseWriter, call *dispatch.PlainCall) error {
	ctx, cancel := until(ctx, e.shutdown.ending)
	defer cancel()
	resp, err := e.opts.Dispatcher.Plain(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	w.Header().Set(headerContentType, resp.Header.Get(headerContentType))
	w.Header().Set(HeaderRunState, string(dispatch.Completed))
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		return errors.Wrap(err, "pass answer on")
	}
	e.record(call.RequestID, "completed", "")
	return nil
}

func plainRequest(r *http.Request, service string, body []byte, id string) *http.Request {
	path := "/" + strings.TrimPrefix(r.URL.Path, "/svc/"+service+"/")
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Path: path, RawQuery: r.URL.RawQuery},
		Header:        make(http.Header),
		ContentLength: int64(len(body)),
	}
	out.Header.Set(headerContentType, r.Header.Get(headerContentType))
	out.Header.Set(HeaderRequestID, id)
	if text := r.Header.Get(HeaderDeadline); text != "" {
		out.Header.Set(HeaderDeadline, text)
	}
	out.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(body)), nil
	}
	return out
}
