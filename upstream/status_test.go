package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestInvalidStatusIsNoResponse guards against an answer whose status is none, such as 000, that is passed on: the
// handler that writes it panics, and its caller gets neither an answer nor an attempt elsewhere.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, status := range rawhttp.InvalidStatuses() {
		var kept atomic.Int64
		e, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, earlier int) bool {
			_, _ = io.Copy(io.Discard, req.Body)
			kept.Store(int64(earlier))
			if req.URL.Path == "/sound" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return true
			}
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\nok")
			return true
		})
		if err != nil {
			t.Fatal(err)
		}
		pool := NewPool(Options{DialTimeout: testTimeout})
		// One on a connection that is kept, and one on a new connection.
		for range 2 {
			_, _ = send(ctx, pool, e.Address(), "/sound")
		}
		for range 2 {
			if _, err := send(ctx, pool, e.Address(), "/"); !errors.Is(err, ErrNoResponse) {
				t.Errorf("status %s: error %v", status, err)
			}
		}
		check := &Check{Process: "p", Target: "/check", Host: "h", Passes: func(int, http.Header, []byte) error { return nil }}
		call := &Call{Request: "r", Method: http.MethodGet, Target: "/sound", Host: "h", Header: http.Header{}, Check: check}
		if _, err := pool.Send(ctx, "e", e.Address(), call); !errors.Is(err, ErrNotSent) {
			t.Errorf("status %s of a check: error %v", status, err)
		}
		pool.CloseAllIdle()
		e.Close()
	}
}

// send sends a call and reads its response.
func send(ctx context.Context, pool *Pool, address, target string) (*Response, error) {
	resp, err := pool.Send(ctx, "e", address, &Call{Request: "r", Method: http.MethodPost, Target: target, Host: "h", Header: http.Header{}, Body: []byte("q"),
		Matches: func(int, http.Header) Ownership { return Own }})
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(resp)
	resp.Close()
	return resp, err
}
