package node

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/peridotmount/peridotmount/settings"
)

// TestHeadWithoutEndIsGivenUp guards against endpoints that take a host's memory: each head without end
// took 10 MB of it. The host must give up soon after a large head would have ended.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	const most = 24 << 20
	var sent atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for block := bytes.Repeat([]byte("X-More: y\r\n"), 100); sent.Load() < most; {
			n, err := c.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	n := &Node{settings: &settings.Settings{}}
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := n.newTransportOver((&net.Dialer{}).DialContext).RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
		t.Fatal("a head without end was taken")
	}
	<-done
	// What the sockets of both sides hold comes on top.
	const maxSent = 8 << 20
	if got := sent.Load(); got > maxSent {
		t.Errorf("%d bytes of the head were read", got)
	}
}
