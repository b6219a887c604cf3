package detour

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
	"github.com/peridotmount/peridotmount/upstream"
)

// TestCallOnAReusedConnectionIsSentOnce guards against a transport that sends a call without a body
// once more by itself, after its connection ended with no byte of a response: the call may have run.
func TestCallOnAReusedConnectionIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost} {
		for _, header := range []http.Header{nil, {"Idempotency-Key": {"k"}}} {
			var first, second atomic.Int64
			endpoint, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, _ int) bool {
				if req.URL.Path == "/second" {
					second.Add(1)
					return false
				}
				first.Add(1)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(endpoint.Close)
			transport := &http.Transport{}
			t.Cleanup(transport.CloseIdleConnections)
			pool := &HTTPPool{Transport: transport}
			send := func(target string) error {
				resp, err := pool.Send(testContext(t), "e", "http://"+endpoint.Address(), &upstream.Call{Method: method, Target: target, Header: header.Clone()})
				if err != nil {
					return err
				}
				_, err = io.ReadAll(resp)
				resp.Close()
				return err
			}
			if err := send("/first"); err != nil {
				t.Fatal(err)
			}
			if err := send("/second"); !errors.Is(err, upstream.ErrNoResponse) || first.Load() != 1 || second.Load() != 1 {
				t.Errorf("%s, header %v: error %v, sent %d times", method, header, err, second.Load())
			}
		}
	}
}
