package graceful

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// testServer serves HTTP on a Listener.
type testServer struct {
	*Listener
	t       *testing.T
	metrics *Metrics
	served  chan error
	// held is called after ConnState, if it is set.
	held atomic.Pointer[func(http.ConnState)]
}

func newTestServer(t *testing.T, handler http.HandlerFunc) *testServer {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, metrics: NewMetrics(prometheus.NewRegistry()), served: make(chan error, 1)}
	s.Listener = NewListener(socket, Options{Party: "test", Refuse: true, Logger: log.NewNopLogger(), Metrics: s.metrics})
	server := &http.Server{Handler: s.Handler(handler), ConnState: s.connState, ConnContext: ConnContext, ReadHeaderTimeout: time.Minute}
	go func() { s.served <- server.Serve(s.Listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// connState is the ConnState of the server.
func (s *testServer) connState(c net.Conn, state http.ConnState) {
	s.ConnState(c, state)
	if held := s.held.Load(); held != nil {
		(*held)(state)
	}
}

// dial connects a client, and waits until the connection is accepted.
func (s *testServer) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	for !s.has(c.LocalAddr().String()) {
		time.Sleep(time.Millisecond)
	}
	return c
}

// has reports whether a client's connection is accepted.
func (s *testServer) has(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.RemoteAddr().String() == client {
			return true
		}
	}
	return false
}

// inPhase returns the number of connections in a phase.
func (s *testServer) inPhase(p phase) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if c.phase == p {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

func (s *testServer) unansweredRequests(p phase) float64 {
	return testutil.ToFloat64(s.metrics.unanswered.WithLabelValues("test", string(p)))
}

// refusal408 is what a connection that awaits a request gets at its end.
const refusal408 = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

const testRequest = "GET / HTTP/1.1\r\nHost: test\r\n\r\n"

// exchange sends a request and returns the status of its response.
func exchange(t *testing.T, c net.Conn, request string) int {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestClosable(t *testing.T) {
	for name, c := range map[string]struct {
		phase         phase
		fresh, unread bool
		quiet         time.Duration
		want          bool
	}{
		"idle":                     {awaiting, false, false, 0, true},
		"idle, request in buffer":  {awaiting, false, true, time.Hour, false},
		"new":                      {awaiting, true, false, firstRequestTime - 1, false},
		"new, without request":     {awaiting, true, false, firstRequestTime, true},
		"inside a head":            {receiving, false, false, pieceTime - 1, false},
		"inside a head, abandoned": {receiving, true, false, pieceTime, true},
		"inside a head, more came": {receiving, true, true, pieceTime, false},
		"served":                   {serving, false, false, time.Hour, false},
		"answered":                 {answering, false, false, time.Hour, false},
	} {
		if got := closable(c.phase, c.fresh, c.unread, c.quiet); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}

// TestShutdownEndsQuietConnections has a connection that was used, one in use, one whose head
// comes in two pieces and one without any request.
func TestShutdownEndsQuietConnections(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			close(entered)
			<-leave
		}
	})
	used, held, pieces, unused := s.dial(), s.dial(), s.dial(), s.dial()
	exchange(t, used, testRequest)
	exchange(t, pieces, testRequest)
	answered := make(chan int, 1)
	go func() { answered <- exchange(t, held, "GET /held HTTP/1.1\r\nHost: test\r\n\r\n") }()
	<-entered
	_, _ = io.WriteString(pieces, testRequest[:10])
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	twoPieces := make(chan int, 1)
	go func() {
		time.Sleep(settleTime + 5*pollInterval)
		twoPieces <- exchange(t, pieces, testRequest[10:])
	}()
	for c, want := range map[net.Conn]string{used: refusal408, unused: ""} {
		if got, err := io.ReadAll(c); string(got) != want || err != nil {
			t.Errorf("read %q, %v, of a connection without request, want %q", got, err, want)
		}
		_ = c.Close()
	}
	status := <-twoPieces
	if status != http.StatusOK {
		t.Errorf("request in two pieces: status %d", status)
	}
	select {
	case err := <-done:
		t.Fatalf("shut down beside a request: %v", err)
	default:
	}
	close(leave)
	if status := <-answered; status != http.StatusOK {
		t.Errorf("held request: status %d", status)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := <-s.served; err != http.ErrServerClosed {
		t.Errorf("server ended with %v", err)
	}
	for _, p := range []phase{receiving, serving, ending} {
		if n := s.unansweredRequests(p); n != 0 {
			t.Errorf("%g unanswered requests while %s", n, p)
		}
	}
}

// TestRequestThatCrossesTheEndIsRefused sends a request on a connection that the host has
// already half-closed.
func TestRequestThatCrossesTheEndIsRefused(t *testing.T) {
	s := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			t.Error("the request was served")
		}
	})
	c := s.dial()
	exchange(t, c, testRequest)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	for s.inPhase(ending) == 0 {
		time.Sleep(time.Millisecond)
	}
	if status := exchange(t, c, "GET /late HTTP/1.1\r\nHost: test\r\n\r\n"); status != http.StatusRequestTimeout {
		t.Errorf("status %d", status)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if n := s.unansweredRequests(ending); n != 1 {
		t.Errorf("%g requests counted", n)
	}
}

// TestShutdownRefusesWhileRequestsArrive sends requests all the time: they are answered until
// shortly before the end, and the shutdown keeps to its time.
func TestShutdownRefusesWhileRequestsArrive(t *testing.T) {
	s := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	ctx, cancel := context.WithTimeout(context.Background(), 2*settleTime+lastCall)
	defer cancel()
	begun := time.Now()
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	for time.Since(begun) < 2*settleTime-5*pollInterval {
		c := s.dial()
		if status := exchange(t, c, testRequest); status != http.StatusServiceUnavailable {
			t.Errorf("status %d after %s", status, time.Since(begun))
		}
		_ = c.Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestShutdownAcceptsWhatHasConnected connects clients that the server accepts only once the
// shutdown has begun.
func TestShutdownAcceptsWhatHasConnected(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(socket, Options{Party: "test", Logger: log.NewNopLogger(), Metrics: NewMetrics(prometheus.NewRegistry())})
	var clients []net.Conn
	for range 8 {
		c, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		clients = append(clients, c)
	}
	done := make(chan error, 1)
	go func() { done <- l.Shutdown(context.Background()) }()
	time.Sleep(5 * pollInterval)
	server := &http.Server{Handler: l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})),
		ConnState: l.ConnState, ConnContext: ConnContext, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	for i, c := range clients {
		if status := exchange(t, c, testRequest); status != http.StatusOK {
			t.Errorf("client %d: status %d", i, status)
		}
		_ = c.Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestShutdownEndsBesideConnectionsThatNobodyAccepts keeps connections in the queue of a listener:
// what else is open is still ended in time.
func TestShutdownEndsBesideConnectionsThatNobodyAccepts(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(socket, Options{Party: "test", Logger: log.NewNopLogger(), Metrics: NewMetrics(prometheus.NewRegistry())})
	c, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 2*lastCall)
	defer cancel()
	if err := l.Shutdown(ctx); err != nil {
		t.Errorf("connections were not ended: %v", err)
	}
}
