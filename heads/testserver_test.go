package heads

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/peridotmount/peridotmount/graceful"
	"github.com/peridotmount/peridotmount/standin"
)

const (
	// testBytes and testFields are the limits of a testServer, testMemory is its budget.
	testBytes  = 16_384
	testFields = 5_500
	testMemory = 1 << 20
	// testTimeout bounds each wait of a test.
	testTimeout = 10 * time.Second
)

// testServer serves requests behind a Listener.
type testServer struct {
	t       *testing.T
	address string
	budget  *Budget
	metrics *Metrics
	client  *tls.Config
}

// newTestServer starts a server; its handler reads the body and answers how many fields came. Over TLS
// if secured is set.
func newTestServer(t *testing.T, secured bool, handler http.HandlerFunc) *testServer {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	s := &testServer{t: t, address: socket.Addr().String(), budget: NewBudget(testMemory, registry), metrics: NewMetrics(registry)}
	if handler == nil {
		handler = func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			_, _ = fmt.Fprintf(w, "%d fields, %d bytes", len(r.Header), len(body))
		}
	}
	var listener net.Listener = socket
	if secured {
		listener = graceful.NewTLSListener(socket, s.certificate())
	}
	server := &http.Server{
		Handler: Handler(handler), ConnContext: ConnContext, ConnState: ConnState, ReadHeaderTimeout: testTimeout,
		MaxHeaderBytes: testBytes,
	}
	go func() {
		_ = server.Serve(NewListener(listener, Options{
			Party: "test", MaxBytes: testBytes, MaxFields: testFields, Budget: s.budget, Metrics: s.metrics,
		}))
	}()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// certificate returns the settings of a TLS server, and sets those of its client.
func (s *testServer) certificate() *tls.Config {
	s.t.Helper()
	authority, err := standin.NewAuthority()
	if err != nil {
		s.t.Fatal(err)
	}
	issued, err := authority.Issue(net.IPv4(127, 0, 0, 1))
	if err != nil {
		s.t.Fatal(err)
	}
	pair, err := tls.X509KeyPair(issued.Certificate, issued.Key)
	if err != nil {
		s.t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.PEM)
	s.client = &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}
	return &tls.Config{Certificates: []tls.Certificate{pair}}
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	if s.client != nil {
		c = tls.Client(c, s.client)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	s.t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends a request in one piece and returns the status and the body of the response.
func (s *testServer) exchange(c net.Conn, r *bufio.Reader, request string) (int, string, http.Header) {
	s.t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		s.t.Fatal(err)
	}
	return s.response(r)
}

func (s *testServer) response(r *bufio.Reader) (int, string, http.Header) {
	s.t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp.StatusCode, string(body), resp.Header
}

// awaitReserved waits until so much is reserved.
func (s *testServer) awaitReserved(what string, ok func(int64) bool) {
	s.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !ok(s.budget.reserved()) {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: %d bytes are reserved", what, s.budget.reserved())
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *testServer) refusals(r reason) float64 {
	return testutil.ToFloat64(s.metrics.refused.WithLabelValues("test", string(r)))
}

// headOf returns a head of so many bytes with short distinct fields, which begins as given.
func headOf(begin string, size int) string {
	var b strings.Builder
	b.WriteString(begin)
	for n := 1296; ; n++ {
		field := strconv.FormatInt(int64(n), 36) + ":\r\n"
		if b.Len()+len(field)+9 > size {
			break
		}
		b.WriteString(field)
	}
	// One field fills the rest.
	b.WriteString("zz:" + strings.Repeat("z", size-b.Len()-7) + "\r\n\r\n")
	return b.String()
}
