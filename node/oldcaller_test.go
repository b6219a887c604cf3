package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/bounded"
	"github.com/peridotmount/peridotmount/traffic"
)

// TestAbortedAnswerToHTTP10IsNotComplete guards against an answer without a length that an HTTP/1.0
// caller takes for whole after its handler gave it up.
func TestAbortedAnswerToHTTP10IsNotComplete(t *testing.T) {
	s := newServer(serverOptions{
		address: "127.0.0.1:0", connections: 2, full: bounded.RespondFull,
		traffic: traffic.NewCounter(nil), metrics: bounded.NewVectors(prometheus.NewRegistry()).ForParty("test"),
		handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			// The caller reads the part before the reset.
			time.Sleep(5 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}),
	})
	if err := s.listen(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.http.Serve(s.listener) }()
	defer func() { _ = s.http.Close() }()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); err == nil {
		t.Errorf("%q looks complete", got)
	}
}
