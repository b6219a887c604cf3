package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/standin"
)

// TestClientThatStoppedSendingSeesABrokenStream has a client close its side of the connection
// in the middle of a stream, which ends the request: the part it got must not look complete.
func TestClientThatStoppedSendingSeesABrokenStream(t *testing.T) {
	b := newTestbed(t, singleRunStream, 1, 1<<20)
	c, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "GET /p/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: half\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Error("the stream looks complete")
	}
	_ = resp.Body.Close()
}

// TestClientThatStoppedSendingGetsNoEmptySuccess has clients close their side of the connection
// before the endpoint has answered, which ends the request: they must not read an empty success.
func TestClientThatStoppedSendingGetsNoEmptySuccess(t *testing.T) {
	for name, b := range map[string]*testbed{"plain": newTestbed(t, atMostOnce, 1, 0), "stream": newTestbed(t, singleRunStream, 1, 9)} {
		b.replicas[0].SetFaults(standin.ReplicaFaults{Silent: true})
		c, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "GET /p/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: half\r\n\r\n")
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if data, err := io.ReadAll(c); err == nil && len(data) > 0 {
			t.Errorf("%s: the client read %q", name, data)
		}
		_ = c.Close()
	}
}
