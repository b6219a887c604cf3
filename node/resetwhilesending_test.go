package node

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestResetEndpointResponseIsNotComplete guards against a plain service's response without a
// length that looks complete after its endpoint was reset, as the write of the request beside it
// was told of the reset.
func TestResetEndpointResponseIsNotComplete(t *testing.T) {
	endpoint, err := rawhttp.StartUnread(func(c *net.TCPConn, req *http.Request, _ int) bool {
		_, _ = io.ReadFull(req.Body, make([]byte, 1<<10))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		// The caller reads the response before the reset.
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	n, _ := newTestNode(t)
	service := engine.NewHTTPPlain("http://"+endpoint.Address(), n.newEndpointClient())
	const calls = 100
	complete, broken := 0, 0
	for range calls {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://caller.example/", bytes.NewReader(make([]byte, 512<<10)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := service.Call(t.Context(), req)
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			complete++
		} else {
			broken++
		}
		_ = resp.Body.Close()
	}
	if complete > 0 || broken == 0 {
		t.Errorf("%d of %d responses look complete, %d broke off", complete, calls, broken)
	}
}
