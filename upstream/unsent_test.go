package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestRequestThatWasReadIsNotSaidToBeUnsent has an endpoint read a part of large requests and end
// the connection.
func TestRequestThatWasReadIsNotSaidToBeUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(c, make([]byte, 4<<10))
				_ = c.(*net.TCPConn).CloseWrite()
				time.Sleep(20 * time.Millisecond)
				_ = c.Close()
			}()
		}
	}()
	pool := NewPool(Options{})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range 10 {
		_, err := pool.Send(ctx, "e", l.Addr().String(), &Call{
			Request: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 5<<20),
		})
		if !errors.Is(err, ErrNoResponse) || errors.Is(err, ErrNotSent) {
			t.Fatalf("error %v", err)
		}
	}
}
