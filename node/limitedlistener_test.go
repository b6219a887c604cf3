package node

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/peridotmount/peridotmount/bounded"
	"github.com/peridotmount/peridotmount/entry"
	"github.com/peridotmount/peridotmount/graceful"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/traffic"
)

const testConnections = 3

// limitedServer is a server of testConnections connections.
type limitedServer struct {
	t       *testing.T
	address string
	client  *tls.Config
	metrics *bounded.Metrics
}

func newLimitedServer(t *testing.T, secured bool) *limitedServer {
	t.Helper()
	s := &limitedServer{t: t, metrics: bounded.NewVectors(prometheus.NewRegistry()).ForParty(traffic.PartyCallers)}
	o := serverOptions{
		party: traffic.PartyCallers, address: "127.0.0.1:0", connections: testConnections,
		handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
		traffic: traffic.NewCounter(nil), metrics: s.metrics, full: entry.RejectOverLimit,
		logger: log.NewNopLogger(), unanswered: graceful.NewMetrics(prometheus.NewRegistry()),
	}
	if secured {
		o.tls, s.client = testTLS(t)
	}
	server := newServer(o)
	if err := server.listen(); err != nil {
		t.Fatal(err)
	}
	s.address = server.listener.Addr().String()
	go func() { _ = server.http.Serve(server.listener) }()
	t.Cleanup(func() { _ = server.http.Close() })
	return s
}

// testTLS returns settings of a server and of a client that trusts it.
func testTLS(t *testing.T) (server, client *tls.Config) {
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
	return &tls.Config{Certificates: []tls.Certificate{pair}}, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}
}

// dial opens a connection and keeps it open until the test ends.
func (s *limitedServer) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if s.client != nil {
		return tls.Client(conn, s.client)
	}
	return conn
}

// call sends a request on an open connection.
func (s *limitedServer) call(conn net.Conn, headers string) (*http.Response, error) {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+headers+"\r\n"); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// expect sends a request with headers, each ended by a line break.
func (s *limitedServer) expect(conn net.Conn, status int, headers ...string) *http.Response {
	s.t.Helper()
	resp, err := s.call(conn, strings.Join(headers, ""))
	if err != nil {
		s.t.Fatal(err)
	}
	if resp.StatusCode != status {
		s.t.Fatalf("status %d, want %d", resp.StatusCode, status)
	}
	return resp
}

func TestFullListenerRefusesAtOnce(t *testing.T) {
	t.Run("plain", func(t *testing.T) { testFullListener(t, false) })
	t.Run("TLS", func(t *testing.T) { testFullListener(t, true) })
}

func testFullListener(t *testing.T, secured bool) {
	s := newLimitedServer(t, secured)
	var served []net.Conn
	for range testConnections {
		conn := s.dial()
		s.expect(conn, http.StatusOK)
		served = append(served, conn)
	}
	resp := s.expect(s.dial(), http.StatusServiceUnavailable)
	if resp.Header.Get("Retry-After") == "" || resp.Header.Get("Peridotmount-Run-State") != "not-run" || !resp.Close {
		t.Errorf("refusal: %v, close %v", resp.Header, resp.Close)
	}
	// An earlier sending of a keyed call may have run.
	resp = s.expect(s.dial(), http.StatusServiceUnavailable, "Idempotency-Key: k\r\n")
	if state := resp.Header.Get("Peridotmount-Run-State"); state != "unknown" {
		t.Errorf("run state of a keyed call: %q", state)
	}
	if n := testutil.ToFloat64(s.metrics.Refused); n != 2 {
		t.Errorf("%v refusals counted", n)
	}
	s.expect(served[0], http.StatusOK)
	_ = served[0].Close()
	s.await(testConnections - 1)
	s.expect(s.dial(), http.StatusOK)
}

// await waits until so many connections are open.
func (s *limitedServer) await(open float64) {
	s.t.Helper()
	for testutil.ToFloat64(s.metrics.Open) != open {
		time.Sleep(time.Millisecond)
	}
}

// TestFloodIsBounded opens far more connections than the listener accepts,
// without sending anything on them.
func TestFloodIsBounded(t *testing.T) {
	s := newLimitedServer(t, false)
	const flood = 5 * (testConnections + bounded.MinRefusalLimit)
	for range flood {
		s.dial()
	}
	for testutil.ToFloat64(s.metrics.Refused) != flood-testConnections {
		time.Sleep(time.Millisecond)
	}
	// The last connection that was accepted may just be closing.
	if open := testutil.ToFloat64(s.metrics.Open); open > testConnections+bounded.MinRefusalLimit+1 {
		t.Errorf("%v connections are open", open)
	}
}
