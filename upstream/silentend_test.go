package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestOpenResponseBeforeASilentProcessIsNoWholeOne guards against a part of a response without length or chunks that is
// taken for whole because the process that has the address at its end listens, but answers no check: it may be the next
// one, after a crash behind a cut of the network. One that answers late is asked for long enough.
func TestOpenResponseBeforeASilentProcessIsNoWholeOne(t *testing.T) {
	for name, c := range map[string]struct {
		silentFor time.Duration
		whole     bool
	}{"silent": {testTimeout, false}, "silent for a moment": {50 * time.Millisecond, true}} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			ended := make(chan struct{})
			go func() {
				for first := true; ; first = false {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					if first {
						_, _ = conn.Read(make([]byte, 1<<10))
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe part")
						_ = conn.Close()
						continue
					}
					go func() {
						defer func() { _ = conn.Close() }()
						select {
						case <-time.After(c.silentFor):
						case <-ended:
							return
						}
						_, _ = conn.Read(make([]byte, 1<<10))
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\np1")
					}()
				}
			}()
			defer close(ended)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			pool := NewPool(Options{DialTimeout: testTimeout})
			if !c.whole {
				pool.aliveTimeout = 100 * time.Millisecond
			}
			check := testCheck("p1")
			check.AtEnd = true
			resp, err := pool.Send(ctx, "e", l.Addr().String(), &Call{Request: "r", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Check: check})
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			body, err := io.ReadAll(resp)
			if string(body) != "the part" || (err == nil) != c.whole || err != nil && !errors.Is(err, ErrTruncated) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
