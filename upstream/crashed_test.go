package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestOpenResponseOfACrashedEndpointIsNoWholeOne guards against a response without length or chunks
// that is taken for whole because the process of its endpoint ended, which closes connections as a
// regular end does.
func TestOpenResponseOfACrashedEndpointIsNoWholeOne(t *testing.T) {
	for name, c := range map[string]struct {
		// crash ends an endpoint's listener and the connection of a response.
		crash func(l net.Listener, c net.Conn)
		whole bool
	}{
		"takes no more connections": {func(l net.Listener, c net.Conn) {
			_ = c.Close()
			for {
				further, err := l.Accept()
				if err != nil {
					return
				}
				_ = further.(*net.TCPConn).SetLinger(0)
				_ = further.Close()
			}
		}, true},
		"listens on":              {func(_ net.Listener, c net.Conn) { _ = c.Close() }, true},
		"listener ends first":     {func(l net.Listener, c net.Conn) { _, _ = l.Close(), c.Close() }, false},
		"listener ends last":      {func(l net.Listener, c net.Conn) { _, _ = c.Close(), l.Close() }, false},
		"listener ends later":     {func(l net.Listener, c net.Conn) { _ = c.Close(); time.Sleep(probeWait / 3); _ = l.Close() }, false},
		"listener ends, in a FIN": {func(l net.Listener, c net.Conn) { _, _ = l.Close(), c.(*net.TCPConn).CloseWrite() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe part")
				c.crash(l, conn)
			}()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			pool := NewPool(Options{DialTimeout: testTimeout})
			if !c.whole {
				// However late the listener ends.
				pool.probeWait = testTimeout
			}
			body, _, err := sendCut(ctx, pool, "e", l.Addr().String(), http.Header{})
			if body != "the part" || (err == nil) != c.whole || err != nil && !errors.Is(err, ErrTruncated) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// TestEndOfAnOpenResponseIsTheSameAgain reads behind the end of a response whose endpoint crashed.
func TestEndOfAnOpenResponseIsTheSameAgain(t *testing.T) {
	endpoint, err := rawhttp.Start(func(c *net.TCPConn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := NewPool(Options{DialTimeout: testTimeout}).Send(ctx, "e", endpoint.Address(), &Call{Request: "r", Method: http.MethodGet, Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	endpoint.Close()
	for range 3 {
		if _, err := resp.Read(make([]byte, 1)); !errors.Is(err, ErrTruncated) {
			t.Errorf("error %v", err)
		}
	}
	if resp.Close() {
		t.Error("the connection was kept")
	}
}
