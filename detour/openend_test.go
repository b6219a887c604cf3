package detour

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/upstream"
)

// TestClientsOpenResponseOfACrashedEndpointIsNoWholeOne guards against a response without length or
// chunks that a client takes for whole because the process of its endpoint ended.
func TestClientsOpenResponseOfACrashedEndpointIsNoWholeOne(t *testing.T) {
	for name, crashes := range map[string]bool{"crashes": true, "lives on": false} {
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
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe part")
				if crashes {
					_ = l.Close()
				}
				_ = conn.Close()
			}()
			_, clients := startHTTPHosts(t, 1, &testEndpoint{address: l.Addr().String()})
			resp, err := post(t, clients[0], &testEndpoint{address: l.Addr().String()}, "/", "body")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			if string(body) != "the part" || crashes != errors.Is(err, upstream.ErrTruncated) || !crashes && err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
