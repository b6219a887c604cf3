package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Answer is an endpoint's answer.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it was not stated.
	Length int64

	exchange *exchange
	body     io.ReadCloser
	close    bool
	whole    bool
	closed   bool
	kept     bool
}

func newAnswer(x *exchange, resp *http.Response) *Answer {
	return &Answer{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Length:   resp.ContentLength,
		exchange: x,
		body:     resp.Body,
		close:    resp.Close,
	}
}

// Read reads the body. It returns io.EOF only if the body is complete, and
// ErrCut if it broke off.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, errors.Wrap(ErrCut, err.Error())
	}
	return n, nil
}

// Close ends the call and reports whether its connection is kept for another one:
// only after a complete answer that nothing follows. Closing again says the same.
func (a *Answer) Close() bool {
	if a.closed {
		return a.kept
	}
	a.closed = true
	x := a.exchange
	// A watch that has begun closes the connection.
	a.kept = x.stopWatch() && a.whole && !a.close && x.finished() && x.conn.reader.Buffered() == 0
	idle := idleTime(a.Header)
	if !a.kept || idle <= 0 || !x.pool.put(x.conn, idle) {
		a.kept = false
		_ = x.conn.Close()
	}
	return a.kept
}

// idleTime returns how long a connection may be kept idle after an answer.
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
	return idleUnstated
}
