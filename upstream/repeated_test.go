package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// scriptedEndpoint answers request n on each connection with responses[n], one write for each of
// its parts. It counts the connections.
type scriptedEndpoint struct {
	responses [][]string
	listener  net.Listener

	mu    sync.Mutex
	conns int
}

// betweenParts is the pause between two parts of a response.
const betweenParts = 5 * time.Millisecond

func startScripted(t *testing.T, responses ...[]string) *scriptedEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &scriptedEndpoint{responses: responses, listener: l}
	var conns sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); conns.Wait() })
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			e.mu.Unlock()
			conns.Go(func() { e.serve(c) })
		}
	})
	return e
}

func (e *scriptedEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, parts := range e.responses {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		for _, part := range parts {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
			time.Sleep(betweenParts)
		}
	}
	// Closed by the caller.
	_, _ = reader.Peek(1)
}

func (e *scriptedEndpoint) connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns
}

// namedResponse returns a response to the request with an id, or to none if it is "".
func namedResponse(status int, id, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	if id != "" {
		head += "X-Id: " + id + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func namedCall(id string) *Call {
	return &Call{
		Request: id, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{},
		Matches: func(_ int, h http.Header) Ownership {
			switch h.Get("X-Id") {
			case id:
				if id != "" {
					return Own
				}
				return Unnamed
			case "":
				return Unnamed
			}
			return Foreign
		},
	}
}

// roundTrip sends a call and returns the status and body of its response.
func roundTrip(ctx context.Context, p *Pool, e *scriptedEndpoint, id string) (int, string, error) {
	resp, err := p.Send(ctx, "e", e.listener.Addr().String(), namedCall(id))
	if err != nil {
		return 0, "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return resp.Status, string(body), err
}

// TestRepeatedFailuresOnKeptConnections has an endpoint answer request 1, and then write an earlier
// failure while it runs request 2 on the same connection. Such a response must never be taken for
// that to request 2.
func TestRepeatedFailuresOnKeptConnections(t *testing.T) {
	served, own := namedResponse(200, "1", "one"), namedResponse(200, "2", "two")
	for _, status := range []int{302, 400, 404, 408, 421, 422, 429, 500, 503} {
		for _, body := range []string{"", "failed"} {
			earlier, unnamed := namedResponse(status, "0", body), namedResponse(status, "", body)
			for name, c := range map[string]struct {
				second   []string
				answered bool
			}{
				"named, before":              {[]string{earlier + own}, true},
				"named, long before":         {[]string{earlier, own}, true},
				"named, behind":              {[]string{own + earlier}, true},
				"named, instead":             {[]string{earlier}, false},
				"named, in the head":         {[]string{own[:20] + earlier + own[20:]}, false},
				"unnamed, before":            {[]string{unnamed + own}, false},
				"unnamed, long before":       {[]string{unnamed, own}, false},
				"unnamed, behind":            {[]string{own + unnamed}, true},
				"unnamed, instead":           {[]string{unnamed}, false},
				"unnamed, behind a named":    {[]string{earlier + unnamed + own}, false},
				"named, three of them":       {[]string{earlier + earlier + earlier + own}, false},
				"named, closes connection":   {[]string{strings.Replace(earlier, "\r\n", "\r\nConnection: close\r\n", 1) + own}, false},
				"named, without its length":  {[]string{strings.Replace(earlier, "Content-Length", "X-Length", 1) + own}, false},
				"named, longer than it says": {[]string{earlier + "more" + own}, false},
			} {
				e := startScripted(t, []string{served}, c.second)
				p := NewPool(Options{})
				timeout := testTimeout
				if name == "named, instead" {
					// The call waits for its own response.
					timeout = 20 * betweenParts
				}
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				if _, got, err := roundTrip(ctx, p, e, "1"); got != "one" || err != nil {
					t.Fatalf("request 1: %q, error %v", got, err)
				}
				got, text, err := roundTrip(ctx, p, e, "2")
				switch {
				case e.connections() != 1:
					t.Errorf("%d, %s: %d connections", status, name, e.connections())
				case c.answered && (got != 200 || text != "two"):
					t.Errorf("%d, %s: status %d, body %q, error %v", status, name, got, text, err)
				case !c.answered && !errors.Is(err, ErrNoResponse):
					t.Errorf("%d, %s: status %d, body %q, error %v, want ErrNoResponse", status, name, got, text, err)
				}
				cancel()
				p.CloseIdle("e")
			}
		}
	}
}

// TestConnectionsEndWithAFailure sends a request again to the endpoint that failed it. The endpoint
// repeats the failure on the connection that it was sent on, where it can't be told from a response
// to the second attempt.
func TestConnectionsEndWithAFailure(t *testing.T) {
	for _, status := range []int{302, 400, 404, 408, 421, 422, 429, 500, 503} {
		for _, id := range []string{"1", ""} {
			failure := namedResponse(status, id, "failed")
			e := startScripted(t, []string{failure}, []string{failure + namedResponse(200, id, "one")})
			p := NewPool(Options{})
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			for i := range 2 {
				if got, _, err := roundTrip(ctx, p, e, id); got != status || e.connections() != i+1 {
					t.Errorf("%d, request %q, attempt %d: status %d, error %v, %d connections", status, id, i, got, err, e.connections())
				}
			}
			cancel()
		}
	}
}

// TestCallsWithoutAnIDGetNewConnections checks that no earlier response can be taken for that to a
// call which nothing identifies.
func TestCallsWithoutAnIDGetNewConnections(t *testing.T) {
	e := startScripted(t, []string{namedResponse(200, "1", "one")}, []string{namedResponse(400, "", "")})
	p := NewPool(Options{})
	if _, got, err := roundTrip(t.Context(), p, e, "1"); got != "one" || err != nil {
		t.Fatalf("request 1: %q, error %v", got, err)
	}
	if _, err := p.Send(t.Context(), "e", e.listener.Addr().String(), testCall()); err != nil {
		t.Errorf("call without an id: %v", err)
	}
	if n := e.connections(); n != 2 {
		t.Errorf("%d connections", n)
	}
	p.CloseIdle("e")
}
