package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/bounded"
	"github.com/peridotmount/peridotmount/graceful"
)

// ask sends a request on a new connection, which stays open until the test ends.
func ask(t *testing.T, address string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// TestListenerSaysThatItIsFull opens one connection more than a listener serves.
func TestListenerSaysThatItIsFull(t *testing.T) {
	l, err := listen(&listenerOptions{
		name: "test", address: "127.0.0.1:0", connections: 2,
		handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		full:    bounded.RespondFull,
		metrics: bounded.NewVectors(prometheus.NewRegistry()).ForParty("test"),
		graceful: graceful.Options{
			Party: "test", Logger: log.NewNopLogger(), Metrics: graceful.NewMetrics(prometheus.NewRegistry()),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = l.http.Serve(l.socket) }()
	defer func() { _ = l.http.Close() }()
	for i, want := range []int{http.StatusOK, http.StatusOK, http.StatusServiceUnavailable} {
		if resp := ask(t, l.socket.Addr().String()); resp.StatusCode != want {
			t.Errorf("connection %d: status %d", i, resp.StatusCode)
		}
	}
}
