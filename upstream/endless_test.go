package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

const testTimeout = 20 * time.Second

// maxEndlessBytes bounds what a test endpoint with an endless response sends, in bytes. It
// is large enough to fail a test whose caller buffers it all, and small enough not to
// exhaust the machine's memory.
const maxEndlessBytes = 8 << 20

// startEndpoint starts an endpoint that sends prefix once, then repeated again and again
// until the caller closes the connection or maxEndlessBytes are sent. It returns the
// address.
func startEndpoint(t *testing.T, prefix, repeated string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); conns.Wait() })
	block := bytes.Repeat([]byte(repeated), 1+4096/max(1, len(repeated)))
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 1024)); err != nil {
					return
				}
				if _, err := io.WriteString(c, prefix); err != nil {
					return
				}
				for sent := 0; repeated != "" && sent < maxEndlessBytes; sent += len(block) {
					if _, err := c.Write(block); err != nil {
						return
					}
				}
			})
		}
	})
	return l.Addr().String()
}

// testOwnership takes responses with an X-Other header for those to other calls.
func testOwnership(_ int, h http.Header) Ownership {
	if h.Get("X-Other") != "" {
		return Foreign
	}
	return Own
}

func testCall() *Call {
	return &Call{
		Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{},
		Matches: testOwnership,
	}
}

// newPatientPool returns a pool whose time to connect is that of the test: callers and
// endpoints share one process here, which may keep each other from running.
func newPatientPool() *Pool {
	return NewPool(Options{DialTimeout: testTimeout})
}

// TestHeadsWithoutEnd has sixteen endpoints at once send endless heads, or endless
// responses to other calls, of each kind. Each call must fail by itself, and the memory
// allocated must stay small, as a host has 184 MB.
func TestHeadsWithoutEnd(t *testing.T) {
	for name, response := range map[string][2]string{
		"status line":             {"HTTP/1.1 200 ", "OK"},
		"one field":               {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"many fields":             {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"no HTTP response":        {"", "noise"},
		"empty lines":             {"", "\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"foreign responses":       {"", "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 1\r\n\r\nx"},
		"foreign body":            {"HTTP/1.1 200 OK\r\nX-Other: 1\r\n\r\n", "x"},
		"foreign chunks":          {"HTTP/1.1 200 OK\r\nX-Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"foreign chunk extension": {"HTTP/1.1 200 OK\r\nX-Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"foreign trailer":         {"HTTP/1.1 200 OK\r\nX-Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			const endpoints, maxBytesEach = 16, 1 << 20
			address := startEndpoint(t, response[0], response[1])
			p := newPatientPool()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var calls sync.WaitGroup
			for i := range endpoints {
				calls.Go(func() {
					a, err := p.Send(ctx, fmt.Sprint(i), address, testCall())
					if !errors.Is(err, ErrNoResponse) || ctx.Err() != nil {
						t.Errorf("response %v, error %v, context error: %v", a, err, ctx.Err())
					}
				})
			}
			calls.Wait()
			runtime.ReadMemStats(&after)
			if got := after.TotalAlloc - before.TotalAlloc; got > endpoints*maxBytesEach {
				t.Errorf("%d bytes allocated for %d responses", got, endpoints)
			}
		})
	}
}

// TestEndlessResponsesAreCounted checks the error and the metric that show operators an
// endpoint which sends an endless response.
func TestEndlessResponsesAreCounted(t *testing.T) {
	p := newPatientPool()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := p.Send(ctx, "e", startEndpoint(t, "HTTP/1.1 200 OK\r\nX: ", "x"), testCall())
	if err == nil || !strings.Contains(err.Error(), ErrTooLong.Error()) {
		t.Errorf("error %v doesn't say that the response is too long", err)
	}
	if n := testutil.ToFloat64(p.metrics.tooLong); n != 1 {
		t.Errorf("counted %v responses", n)
	}
}

// TestLargeHeadsAndLongBodiesPass checks that the limits leave a large head and a long
// body of the right response alone.
func TestLargeHeadsAndLongBodiesPass(t *testing.T) {
	body := strings.Repeat("b", 4*maxForeignBytes)
	head := "HTTP/1.1 200 OK\r\nX-Large: " + strings.Repeat("l", maxHeadBytes/2) + "\r\n"
	p := newPatientPool()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	address := startEndpoint(t, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body, "")
	a, err := p.Send(ctx, "e", address, testCall())
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(a)
	if err != nil || len(got) != len(body) {
		t.Errorf("%d bytes of %d, error %v", len(got), len(body), err)
	}
	a.Close()
}
