package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Response is an endpoint's response to a Call.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if the endpoint did not state it.
	Length int64
	// Open is set if the body has neither a length nor chunks, so that the connection's end is
	// its end.
	Open bool
	// Via is the name of the host that made the call for this one, or "".
	Via string
	// OtherProcess is set if another process than that of the call's check sent the response.
	OtherProcess bool

	// exchange is the call on this host's own connection; nil if another host made it.
	exchange *exchange
	body     io.ReadCloser
	// closeAfter is set if the connection can't be used after the response.
	closeAfter bool
	// confirmEnd returns an error if the body, which has no length, may not have been complete where it
	// ended. It may be nil.
	confirmEnd func() error
	// ended is the error with which the body ended, nil before that.
	ended error
	// closed is set by the first Close, kept is the result of that call.
	closed bool
	kept   bool
}

func newResponse(x *exchange, resp *http.Response) *Response {
	return &Response{
		Status:     resp.StatusCode,
		Header:     resp.Header,
		Length:     resp.ContentLength,
		Open:       IsOpen(resp),
		exchange:   x,
		body:       resp.Body,
		closeAfter: resp.Close,
	}
}

// IsOpen reports whether the body of a response has neither a length nor chunks.
func IsOpen(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// ConfirmEnd has confirm called once a body without a length has ended. If it returns an error, the
// body ended early. It must be called before the first Read.
func (r *Response) ConfirmEnd(confirm func() error) {
	r.confirmEnd = confirm
}

// NewRelayedResponse returns a response that another host, named via, passes on. Its body ends
// with an error if it is not complete.
func NewRelayedResponse(via string, status int, header http.Header, length int64, body io.ReadCloser) *Response {
	return &Response{Status: status, Header: header, Length: length, Via: via, body: body}
}

// Read reads the body. It returns io.EOF only at the end of a complete body, and
// ErrTruncated or ErrPathLost if the body ends early.
func (r *Response) Read(p []byte) (int, error) {
	if r.ended != nil {
		return 0, r.ended
	}
	n, err := r.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		r.ended = r.checkEnd()
	case errors.Is(err, ErrPathLost):
		r.ended = err
	default:
		r.ended = errors.Wrap(ErrTruncated, err.Error())
	}
	return n, r.ended
}

// checkEnd returns io.EOF if the body is complete where it ended, and ErrTruncated if not. A
// process that dies, or stops at a deadline, may end its bodies as if they were complete.
func (r *Response) checkEnd() error {
	if r.Length >= 0 || r.confirmEnd == nil {
		return io.EOF
	}
	if err := r.confirmEnd(); err != nil {
		return errors.Wrapf(ErrTruncated, "it has no length, and its end is not sure: %v", err)
	}
	return io.EOF
}

// Close ends the call and reports whether its connection was returned to the pool. It
// is returned only after a complete response with no further bytes behind it, and only
// after a success: the endpoint may repeat a failure while it runs the same request again.
// Further calls return the same result.
func (r *Response) Close() bool {
	if r.closed {
		return r.kept
	}
	r.closed = true
	x := r.exchange
	if x == nil {
		_ = r.body.Close()
		return false
	}
	// If the context has ended, the connection is closed or being closed already.
	r.kept = x.detachContext() && r.ended == io.EOF && r.Status < http.StatusMultipleChoices && !r.closeAfter && x.requestWritten() && x.conn.reader.Buffered() == 0
	idle := idleTime(r.Header)
	if !r.kept || idle <= 0 || !x.pool.putIdle(x.conn, idle) {
		r.kept = false
		_ = x.conn.Close()
	}
	return r.kept
}

// idleTime returns how long a connection may stay idle after a response with header h.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
