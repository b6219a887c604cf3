package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// TestOpenResponseOfARestartedEndpointIsNoWholeOne guards against a response without length or chunks
// that is taken for whole because another process has its endpoint's address at its end, as for a host
// that was frozen meanwhile.
func TestOpenResponseOfARestartedEndpointIsNoWholeOne(t *testing.T) {
	for name, c := range map[string]struct {
		// next is the process that has the address at the end.
		next  string
		whole bool
	}{"another process": {"p2", false}, "the same": {"p1", true}} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			e := &reportingEndpoint{Listener: l, process: c.next}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe part")
				_ = conn.Close()
			}()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			check := testCheck("p1")
			check.AtEnd = true
			resp, err := NewPool(Options{DialTimeout: testTimeout}).Send(ctx, "e", l.Addr().String(),
				&Call{Request: "r", Method: http.MethodGet, Target: "/", Host: "h", Check: check})
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			<-ended
			go e.run()
			defer func() { _ = l.Close() }()
			body, err := io.ReadAll(resp)
			if string(body) != "the part" || (err == nil) != c.whole || err != nil && !errors.Is(err, ErrTruncated) {
				t.Errorf("body %q, error %v", body, err)
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.reports != 1 || e.calls != 0 {
				t.Errorf("%d reports, %d calls", e.reports, e.calls)
			}
		})
	}
}

// TestOpenResponseBesideARestartIsNoWholeOne has the next process listen at the address of an endpoint
// between two attempts to connect at the end of an open response.
func TestOpenResponseBesideARestartIsNoWholeOne(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe part")
		_, _ = l.Close(), conn.Close()
	}()
	pool, dials := NewPool(Options{DialTimeout: testTimeout}), 0
	set := pool.dialer.Control
	pool.dialer.Control = func(network, address string, c syscall.RawConn) error {
		if dials++; dials == 3 {
			next, err := net.Listen("tcp", address)
			if err != nil {
				return err
			}
			go (&reportingEndpoint{Listener: next, process: "p2"}).run()
			t.Cleanup(func() { _ = next.Close() })
		}
		if set == nil {
			return nil
		}
		return set(network, address, c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	check := testCheck("p1")
	check.AtEnd = true
	resp, err := pool.Send(ctx, "e", l.Addr().String(), &Call{Request: "r", Method: http.MethodGet, Target: "/", Host: "h", Check: check})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if body, err := io.ReadAll(resp); string(body) != "the part" || !errors.Is(err, ErrTruncated) {
		t.Errorf("body %q, error %v", body, err)
	}
}
