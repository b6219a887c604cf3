package heads

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	get  = "GET / HTTP/1.1\r\nHost: h\r\n"
	post = "POST / HTTP/1.1\r\nHost: h\r\n"
)

// eachTransport runs a test over plain connections and over TLS, whose bytes on the wire are others
// than those of the heads.
func eachTransport(t *testing.T, run func(*testing.T, bool)) {
	for name, secured := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) { run(t, secured) })
	}
}

// TestHeadsAtTheLimits guards against clients inside the limits that are refused, and clients beyond
// them that are not.
func TestHeadsAtTheLimits(t *testing.T) {
	eachTransport(t, func(t *testing.T, secured bool) {
		s := newTestServer(t, secured, nil)
		fields := func(n int) string { return get + strings.Repeat("a:\n", n-1) + "\n" }
		for name, c := range map[string]struct {
			request string
			status  int
		}{
			"largest head":   {headOf(get, testBytes), http.StatusOK},
			"a byte more":    {headOf(get, testBytes+1), http.StatusRequestHeaderFieldsTooLarge},
			"all in one":     {get + "X: " + strings.Repeat("x", testBytes-len(get)-7) + "\r\n\r\n", http.StatusOK},
			"shortest lines": {fields(5_400), http.StatusOK},
			"bare LF":        {"GET / HTTP/1.1\nHost: h\nX: y\n\n", http.StatusOK},
		} {
			conn := s.dial()
			if status, body, _ := s.exchange(conn, bufio.NewReader(conn), c.request); status != c.status {
				t.Errorf("%s: status %d, want %d: %s", name, status, c.status, body)
			}
			_ = conn.Close()
		}
		if n := s.refusals(tooManyBytes); n != 1 {
			t.Errorf("%g refusals counted", n)
		}
		s.awaitReserved("at the end", func(n int64) bool { return n == 0 })
	})
}

// TestTooManyFieldsAreRefused guards against a head inside its bytes whose fields cost too much.
func TestTooManyFieldsAreRefused(t *testing.T) {
	o := Options{MaxFields: 10}
	for fields, want := range map[int]reason{10: "", 11: tooManyFields} {
		c := &Conn{listener: NewListener(nil, o), Conn: idleConn(t)}
		c.follow([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"))
		if c.refused != want {
			t.Errorf("%d fields: %q", fields, c.refused)
		}
	}
}

// TestMemoryIsReservedUntilTheRequestEnds guards against heads that cost nothing while they wait for
// their bodies: their cost has to be reserved until the response is written, or the client has gone.
func TestMemoryIsReservedUntilTheRequestEnds(t *testing.T) {
	eachTransport(t, func(t *testing.T, secured bool) {
		s := newTestServer(t, secured, nil)
		head := headOf(post+"Content-Length: 3\r\n", testBytes)
		first, second, third := s.dial(), s.dial(), s.dial()
		for i, c := range []net.Conn{first, second} {
			if _, err := io.WriteString(c, head); err != nil {
				t.Fatal(err)
			}
			least := int64(i+1) * testMemory / 3
			s.awaitReserved("waiting heads", func(n int64) bool { return n > least })
		}
		status, _, header := s.exchange(third, bufio.NewReader(third), head)
		if status != http.StatusServiceUnavailable || header.Get("Retry-After") != "1" {
			t.Errorf("beyond the memory: status %d, %v", status, header)
		}
		// Ordinary heads don't need the budget.
		ordinary := s.dial()
		reader := bufio.NewReader(ordinary)
		for range 3 {
			if status, _, _ := s.exchange(ordinary, reader, get+"X-Request-Id: 1\r\n\r\n"); status != http.StatusOK {
				t.Errorf("an ordinary request: status %d", status)
			}
		}
		// The connection is kept; its memory is not.
		if status, body, _ := s.exchange(first, bufio.NewReader(first), "abc"); status != http.StatusOK || !strings.Contains(body, "3 bytes") {
			t.Errorf("with its body: status %d: %s", status, body)
		}
		s.awaitReserved("after a response", func(n int64) bool { return n < testMemory*2/3 })
		_ = second.Close()
		s.awaitReserved("at the end", func(n int64) bool { return n == 0 })
		if n := s.refusals(noMemory); n != 1 {
			t.Errorf("%g refusals counted", n)
		}
	})
}

// TestKeptConnections guards against a count that loses its place between the requests of a connection:
// bodies of many lines are no heads, and each head counts alone.
func TestKeptConnections(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 6_000)
	chunks := "4;x=y\r\na:\r\n\r\n5dc0\r\n" + lines + "\r\n0\r\nEnd: y\r\n\r\n"
	eachTransport(t, func(t *testing.T, secured bool) {
		s := newTestServer(t, secured, nil)
		c := s.dial()
		r := bufio.NewReader(c)
		for i := range 3 {
			for name, one := range map[string]string{
				"none":    headOf(get, testBytes),
				"stated":  post + "content-LENGTH:  24000 \r\n\r\n" + lines,
				"chunked": post + "Transfer-Encoding: Chunked\r\nTrailer: End\r\n\r\n" + chunks,
				"bare LF": "POST / HTTP/1.1\nHost: h\nContent-Length: 24000\n\n" + lines,
				"expects": post + "Expect: 100-continue\r\nContent-Length: 0\r\n\r\n",
			} {
				status, body, _ := s.exchange(c, r, one)
				if status == http.StatusContinue {
					status, body, _ = s.response(r)
				}
				if status != http.StatusOK {
					t.Fatalf("%s, %d: status %d: %s", name, i, status, body)
				}
			}
		}
		_ = c.Close()
		s.awaitReserved("at the end", func(n int64) bool { return n == 0 })
	})
}

// TestPipelinedRequests guards against responses that are lost when a later request of the connection
// is refused, and against heads that cost nothing as they came with earlier requests.
func TestPipelinedRequests(t *testing.T) {
	eachTransport(t, func(t *testing.T, secured bool) {
		goOn := make(chan struct{})
		var served sync.Map
		s := newTestServer(t, secured, func(_ http.ResponseWriter, r *http.Request) {
			served.Store(r.URL.Path, true)
			if r.URL.Path == "/first" {
				<-goOn
			}
		})
		// All heads but one large one fit; 3 KB of fields need 100 KB.
		taken := testMemory - 20<<10
		if !s.budget.resize(0, int64(taken)) {
			t.Fatal("no budget")
		}
		c := s.dial()
		large := headOf("GET /large HTTP/1.1\r\nHost: h\r\n", 3<<10)
		if _, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n"+large); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(20*time.Millisecond, func() { close(goOn) })
		r := bufio.NewReader(c)
		for _, want := range []int{http.StatusOK, http.StatusOK, http.StatusServiceUnavailable} {
			if status, _, _ := s.response(r); status != want {
				t.Errorf("status %d, want %d", status, want)
			}
		}
		if _, err := r.ReadByte(); err == nil {
			t.Error("the connection was kept")
		}
		if _, found := served.Load("/large"); found {
			t.Error("the refused request was served")
		}
		s.awaitReserved("at the end", func(n int64) bool { return n == int64(taken) })
	})
}

// TestPipelinedHeadsStayReserved guards against a reservation that ends with the first of several requests
// that came together.
func TestPipelinedHeadsStayReserved(t *testing.T) {
	budget := &Budget{limit: testMemory}
	c := &Conn{listener: NewListener(nil, Options{Budget: budget}), Conn: idleConn(t)}
	c.follow([]byte(get + "\r\n" + headOf(get, 3<<10)))
	all := budget.reserved()
	c.begin()
	if c.idle(); all == 0 || budget.reserved() != all {
		t.Errorf("%d of %d bytes are reserved for the second request", budget.reserved(), all)
	}
	c.begin()
	if c.idle(); budget.reserved() != 0 {
		t.Errorf("%d bytes are reserved at the end", budget.reserved())
	}
}

// TestRefusalArrivesWhileTheClientSends guards against a refusal that is lost to a reset: the client
// sends more than was read before it reads.
func TestRefusalArrivesWhileTheClientSends(t *testing.T) {
	eachTransport(t, func(t *testing.T, secured bool) {
		s := newTestServer(t, secured, nil)
		c := s.dial()
		if status, _, _ := s.exchange(c, bufio.NewReader(c), get+"X: "+strings.Repeat("x", 256<<10)); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d", status)
		}
	})
}

// TestEmptyLinesWithoutEnd guards against lines before a request that count nowhere.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	c := &Conn{listener: NewListener(nil, Options{MaxBytes: testBytes}), Conn: idleConn(t)}
	for range testBytes/2 + 1 {
		c.follow([]byte("\r\n"))
	}
	if c.refused != tooManyBytes {
		t.Errorf("refused: %q", c.refused)
	}
}

// TestBodyThatGoesOnIsNoHead guards against a request in what is taken for a body: net/http is done with
// the request, as its length was read differently.
func TestBodyThatGoesOnIsNoHead(t *testing.T) {
	c := &Conn{listener: NewListener(nil, Options{}), Conn: idleConn(t)}
	c.follow([]byte(post + "Content-Length: 10\r\n\r\n"))
	c.begin()
	if c.idle(); c.refused != badFraming || !c.unanswered {
		t.Errorf("refused: %q", c.refused)
	}
}

// TestOldProtocolHasNoChunks guards against heads that cost nothing as they pass for a body: net/http ignores
// Transfer-Encoding in HTTP/1.0 and reads a body of the stated length, which here holds the end of the
// chunks and the head of a request with a long body.
func TestOldProtocolHasNoChunks(t *testing.T) {
	eachTransport(t, func(t *testing.T, secured bool) {
		s := newTestServer(t, secured, nil)
		c := s.dial()
		r := bufio.NewReader(c)
		hidden := "0\r\n\r\n" + post + "Content-Length: 1000000000\r\n\r\n"
		status, body, _ := s.exchange(c, r, "POST / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n"+
			"Content-Length: "+strconv.Itoa(len(hidden))+"\r\n\r\n"+hidden)
		if status != http.StatusOK || !strings.Contains(body, strconv.Itoa(len(hidden))+" bytes") {
			t.Errorf("status %d: %s", status, body)
		}
		// The connection may have been closed.
		_, _ = io.WriteString(c, headOf(post, testBytes))
		if resp, err := http.ReadResponse(r, nil); err == nil && resp.StatusCode == http.StatusOK {
			t.Error("a head was served that was not counted")
		}
		if n := s.refusals(badFraming); n != 1 {
			t.Errorf("%g refusals counted", n)
		}
	})
}

// BenchmarkOrdinaryHead measures what is added to a request of a usual head and body.
func BenchmarkOrdinaryHead(b *testing.B) {
	c := &Conn{listener: NewListener(nil, Options{MaxBytes: testBytes, MaxFields: testFields, Budget: &Budget{limit: 1 << 20}})}
	request := []byte(post + "Content-Length: 10\r\nUser-Agent: client/1.0\r\nAccept: */*\r\nContent-Type: application/json\r\n" +
		"X-Request-Id: 0123456789abcdef\r\nX-Prompt-Prefix: a:100,b:200\r\nX-Token-Counts: 100,120\r\nX-Model: m\r\n\r\n0123456789")
	b.ReportAllocs()
	for b.Loop() {
		c.mu.Lock()
		c.follow(request)
		c.mu.Unlock()
		c.begin()
		c.idle()
	}
	if c.refused != "" || c.ended != c.answered {
		b.Errorf("%+v", c)
	}
}

// idleConn returns a connection that carries nothing.
func idleConn(t *testing.T) net.Conn {
	t.Helper()
	c, other := net.Pipe()
	t.Cleanup(func() { _, _ = c.Close(), other.Close() })
	return c
}
