package graceful

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/standin"
)

// testTLSServer is a testServer over TLS, with the configuration of its clients.
type testTLSServer struct {
	*testServer
	client *tls.Config
}

func newTestTLSServer(t *testing.T, version uint16) *testTLSServer {
	t.Helper()
	authority, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	issued, err := authority.Issue(net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.X509KeyPair(issued.Certificate, issued.Key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.PEM)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, metrics: NewMetrics(prometheus.NewRegistry()), served: make(chan error, 1)}
	s.Listener = NewListener(socket, Options{Party: "test", Logger: log.NewNopLogger(), Metrics: s.metrics})
	server := &http.Server{
		Handler:   s.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})),
		ConnState: s.ConnState, ConnContext: ConnContext, ReadHeaderTimeout: time.Minute,
	}
	secured := NewTLSListener(s.Listener, &tls.Config{Certificates: []tls.Certificate{pair}, MaxVersion: version})
	go func() { s.served <- server.Serve(secured) }()
	t.Cleanup(func() { _ = server.Close() })
	return &testTLSServer{testServer: s, client: &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}}
}

// dialTLS connects a client and makes the handshake.
func (s *testTLSServer) dialTLS() *tls.Conn {
	s.t.Helper()
	c := tls.Client(s.dial(), s.client)
	if err := c.Handshake(); err != nil {
		s.t.Fatal(err)
	}
	return c
}

func eachVersion(t *testing.T, run func(*testing.T, uint16)) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		t.Run(tls.VersionName(version), func(t *testing.T) {
			t.Parallel()
			run(t, version)
		})
	}
}

// TestShutdownEndsQuietTLSConnections has connections over TLS that were used, that have made
// only the handshake, only a part of it, or nothing, and one whose request comes in two pieces.
func TestShutdownEndsQuietTLSConnections(t *testing.T) {
	eachVersion(t, func(t *testing.T, version uint16) {
		s := newTestTLSServer(t, version)
		used, unused, pieces := s.dialTLS(), s.dialTLS(), s.dialTLS()
		exchange(t, used, testRequest)
		exchange(t, pieces, testRequest)
		s.dial()
		half := s.dial()
		_, _ = half.Write([]byte{22, 3, 1, 0, 80})
		_, _ = io.WriteString(pieces, testRequest[:10])
		done := make(chan error, 1)
		go func() { done <- s.Shutdown(context.Background()) }()
		for name, c := range map[string]net.Conn{"used": used, "unused": unused} {
			if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
				t.Errorf("%s: read %d bytes, %v", name, n, err)
			}
			_ = c.Close()
		}
		if status := exchange(t, pieces, testRequest[10:]); status != http.StatusOK {
			t.Errorf("request in two pieces: status %d", status)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		for _, p := range []phase{receiving, serving, ending} {
			if n := s.unansweredRequests(p); n != 0 {
				t.Errorf("%g unanswered requests while %s", n, p)
			}
		}
	})
}

// TestRequestInsideATLSRecordIsAwaited sends a request whose record comes in two pieces, around
// the moment at which a shutdown looks for quiet connections.
func TestRequestInsideATLSRecordIsAwaited(t *testing.T) {
	eachVersion(t, func(t *testing.T, version uint16) {
		s := newTestTLSServer(t, version)
		wire := &pausingConn{Conn: s.dial(), pause: 10 * pollInterval}
		c := tls.Client(wire, s.client)
		exchange(t, c, testRequest)
		wire.begin = func() { go func() { _ = s.Shutdown(context.Background()) }() }
		if status := exchange(t, c, testRequest); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	})
}

// pausingConn writes in two pieces once begin is set, which it calls between the two.
type pausingConn struct {
	net.Conn
	pause time.Duration
	begin func()
}

// Write implements net.Conn.
func (c *pausingConn) Write(p []byte) (int, error) {
	if c.begin == nil {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	c.begin()
	c.begin = nil
	time.Sleep(c.pause)
	m, err := c.Conn.Write(p[n:])
	return n + m, err
}

// TestRequestThatCrossesTheEndOverTLSIsCounted sends a request on a connection that the host has
// already ended.
func TestRequestThatCrossesTheEndOverTLSIsCounted(t *testing.T) {
	eachVersion(t, func(t *testing.T, version uint16) {
		s := newTestTLSServer(t, version)
		c := s.dialTLS()
		exchange(t, c, testRequest)
		done := make(chan error, 1)
		go func() { done <- s.Shutdown(context.Background()) }()
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, testRequest)
		if err := <-done; err != nil {
			t.Error(err)
		}
		if n := s.unansweredRequests(ending); n != 1 {
			t.Errorf("%g requests counted", n)
		}
	})
}
