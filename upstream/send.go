package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpstatus"
)

// exchange is one call in flight on a connection.
type exchange struct {
	pool *Pool
	conn *connection
	// first is set if no earlier call used the connection.
	first bool
	// detachContext detaches the connection from the call's context, whose end closes it.
	// It returns false if the context has ended.
	detachContext func() bool
	// written is closed when writing the request has ended; writeErr is set before
	// that.
	written  chan struct{}
	writeErr error
}

// Send sends a call to the endpoint named key at an address and returns the response,
// which the caller must close. When ctx ends, the connection is closed, which makes the
// endpoint abort the request. Errors are ErrNotSent and ErrNoResponse.
func (p *Pool) Send(ctx context.Context, key, address string, call *Call) (*Response, error) {
	conn, err := p.acquire(ctx, key, address, call)
	if err != nil {
		return nil, err
	}
	conn.sent.Store(0)
	x := &exchange{pool: p, conn: conn, first: conn.responses == 0, written: make(chan struct{})}
	x.detachContext = context.AfterFunc(ctx, func() { _ = conn.Close() })
	req, err := newRequest(call)
	if err != nil {
		x.closeConn()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if err := x.passCheck(ctx, address, call.Check); err != nil {
		x.closeConn()
		if errors.Is(err, ErrNotSent) {
			return nil, err
		}
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if call.Check.beforeCall() && x.conn.process == call.Check.Process {
		p.track(x.conn)
	}
	if len(call.Body) <= maxInlineBody {
		x.write(req)
		if x.writeErr != nil {
			return nil, x.fail(ctx, x.writeErr)
		}
	} else {
		go x.write(req)
	}
	resp, err := x.awaitResponse(req, call)
	if err != nil {
		return nil, x.fail(ctx, err)
	}
	x.report(ctx, nil)
	out := newResponse(x, resp)
	out.OtherProcess = call.Check.beforeCall() && x.conn.process == otherThan(call.Check.Process)
	out.ConfirmEnd(func() error {
		if err := call.ConfirmEnd(); err != nil || !out.Open {
			return err
		}
		return p.alive(ctx, key, address, call.Check)
	})
	return out, nil
}

func newRequest(call *Call) (*http.Request, error) {
	target, err := requestTarget(call.Target)
	if err != nil {
		return nil, err
	}
	target.Host = call.Host
	req := &http.Request{
		Method:        call.Method,
		URL:           target,
		Host:          call.Host,
		Header:        call.Header,
		ContentLength: int64(len(call.Body)),
		Body:          http.NoBody,
	}
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	return req, nil
}

// requestTarget returns a URL that net/http writes byte for byte as the path and query
// that the client sent.
func requestTarget(target string) (*url.URL, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, errors.Wrap(err, "request target")
	}
	if strings.HasPrefix(target, "//") {
		// net/http would write an opaque part of this form as an absolute URL.
		return u, nil
	}
	path, query, found := strings.Cut(target, "?")
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: found && query == ""}, nil
}

// write writes the request in a single write to the connection.
func (x *exchange) write(req *http.Request) {
	defer close(x.written)
	var head bytes.Buffer
	head.Grow(len(req.Header)*64 + int(req.ContentLength))
	if err := req.Write(&head); err != nil {
		x.writeErr = err
		return
	}
	_, x.writeErr = x.conn.Write(head.Bytes())
}

// awaitResponse reads responses until the one that belongs to the call arrives.
func (x *exchange) awaitResponse(req *http.Request, call *Call) (*http.Response, error) {
	for range maxResponses {
		resp, err := x.readHead(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if call.OnResponse != nil {
			call.OnResponse(resp.StatusCode, resp.Header)
		}
		first := x.conn.responses == 0
		x.conn.responses++
		switch call.ownership(resp) {
		case Own:
			return resp, nil
		case Unnamed:
			if first {
				return resp, nil
			}
			x.pool.metrics.unnamed.Inc()
			return nil, errors.New("response may belong to an earlier request")
		}
		x.pool.metrics.foreign.Inc()
		if resp.Close {
			// No other response can follow.
			return nil, errors.New("response belongs to another request")
		}
		if err := x.discard(resp); err != nil {
			return nil, errors.Wrap(err, "response belongs to another request")
		}
	}
	return nil, errors.New("too many informational responses or responses to other requests")
}

// readFinalHead reads heads up to that of the first response that is not informational.
func (x *exchange) readFinalHead(req *http.Request) (*http.Response, error) {
	for range maxResponses {
		resp, err := x.readHead(req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errors.New("too many informational responses")
}

// readHead reads the head of a response. It returns ErrTooLong if the head exceeds
// maxHeadBytes or maxHeadFields, and httpstatus.ErrInvalid if its status is none.
func (x *exchange) readHead(req *http.Request) (*http.Response, error) {
	x.conn.limit.limitHead()
	defer x.conn.limit.unlimit()
	resp, err := http.ReadResponse(x.conn.reader, req)
	if err != nil {
		return nil, x.checkLimit(err)
	}
	if err := httpstatus.Check(resp.StatusCode); err != nil {
		return nil, err
	}
	return resp, nil
}

// discard reads and drops the body of a response to another request. It returns
// ErrTooLong if the body exceeds maxForeignBytes.
func (x *exchange) discard(resp *http.Response) error {
	x.conn.limit.remaining = maxForeignBytes
	defer func() { x.conn.limit.remaining = unbounded }()
	_, err := io.Copy(io.Discard, resp.Body)
	return x.checkLimit(err)
}

// checkLimit turns an error into ErrTooLong and counts it, if the size limit was
// reached. net/http may hide the cause, as it reports any early end of a head as an
// unexpected EOF.
func (x *exchange) checkLimit(err error) error {
	if err == nil || x.conn.limit.remaining != 0 {
		return err
	}
	x.pool.metrics.tooLong.Inc()
	return errors.Wrap(ErrTooLong, err.Error())
}

// fail closes the connection and returns err as ErrNotSent or ErrNoResponse, by whether
// any byte of the request was sent.
func (x *exchange) fail(ctx context.Context, err error) error {
	x.report(ctx, err)
	x.closeConn()
	// A write that is in progress ends now, and counts what it has sent.
	<-x.written
	if x.conn.sent.Load() == 0 {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	return errors.Wrap(ErrNoResponse, err.Error())
}

// report tells whether the connection carries responses, unless an earlier call showed it.
func (x *exchange) report(ctx context.Context, err error) {
	if x.first {
		x.pool.report(ctx, x.conn.key, x.conn.began, err)
	}
}

// closeConn closes the connection without returning it to the pool.
func (x *exchange) closeConn() {
	x.detachContext()
	_ = x.conn.Close()
}

// requestWritten reports whether the whole request was written without an error.
func (x *exchange) requestWritten() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}
