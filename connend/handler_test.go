package connend

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestAbortedResponseWithoutALengthIsReset gives up responses to HTTP/1.0, which end with their
// connections, with and without TLS; those that are not given up end regularly.
func TestAbortedResponseWithoutALengthIsReset(t *testing.T) {
	handler := Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/aborted" {
			// The caller reads the part before the reset.
			time.Sleep(5 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
	}))
	for _, secure := range []bool{false, true} {
		s := httptest.NewUnstartedServer(handler)
		dial := func() (net.Conn, error) { return net.Dial("tcp", s.Listener.Addr().String()) }
		if secure {
			s.StartTLS()
			dial = func() (net.Conn, error) {
				config := s.Client().Transport.(*http.Transport).TLSClientConfig
				return tls.Dial("tcp", s.Listener.Addr().String(), config)
			}
		} else {
			s.Start()
		}
		t.Cleanup(s.Close)
		for path, whole := range map[string]bool{"/": true, "/aborted": false} {
			conn, err := dial()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(conn); (err == nil) != whole {
				t.Errorf("TLS %t, %s: %q, error %v", secure, path, got, err)
			}
		}
	}
}
