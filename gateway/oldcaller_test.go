package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/bounded"
	"github.com/peridotmount/peridotmount/disconnect"
)

// TestAbortedResponseToHTTP10IsNotComplete guards against a response without a length that an HTTP/1.0
// caller takes for whole after its handler gave it up.
func TestAbortedResponseToHTTP10IsNotComplete(t *testing.T) {
	l, err := listen(&listenerOptions{
		name: "test", address: "127.0.0.1:0", connections: 2,
		handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			if r.URL.Path == "/aborted" {
				// The caller reads the part before the reset.
				time.Sleep(5 * time.Millisecond)
				panic(http.ErrAbortHandler)
			}
		}),
		full:    bounded.RespondFull,
		metrics: bounded.NewVectors(prometheus.NewRegistry()).ForParty("test"),
		ended:   disconnect.NewCounter(prometheus.NewRegistry()),
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = l.http.Serve(l.socket) }()
	defer func() { _ = l.http.Close() }()
	for path, whole := range map[string]bool{"/": true, "/aborted": false} {
		conn, err := net.Dial("tcp", l.socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(conn); (err == nil) != whole {
			t.Errorf("%s: %q, error %v", path, got, err)
		}
	}
}
