package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/pkg/errors"
)

// reportingEndpoint answers reports with its process, and calls with their connection.
type reportingEndpoint struct {
	net.Listener
	process string
	// reportHeader is the header of reports, besides their length.
	reportHeader string

	mu             sync.Mutex
	reports, calls int
	connections    int
}

func startReporting(t *testing.T, process, reportHeader string) *reportingEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &reportingEndpoint{Listener: l, process: process, reportHeader: reportHeader}
	go e.run()
	return e
}

func (e *reportingEndpoint) run() {
	for {
		c, err := e.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *reportingEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	e.mu.Lock()
	e.connections++
	e.mu.Unlock()
	for reader := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e.mu.Lock()
		header := ""
		if req.URL.Path == "/report" {
			e.reports++
			header = e.reportHeader
		} else {
			e.calls++
		}
		e.mu.Unlock()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(e.process), e.process)
		if header != "" {
			return
		}
	}
}

// testCheck is the check that an endpoint is a process.
func testCheck(process string) *Check {
	return &Check{Process: process, Target: "/report", Host: "h", Passes: func(_ int, _ http.Header, body []byte) error {
		if string(body) != process {
			return errors.Errorf("it is %s", body)
		}
		return nil
	}}
}

// TestCallReachesTheProcessThatIsMeant guards against a call that is sent to another process than the
// one that had the address before.
func TestCallReachesTheProcessThatIsMeant(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, c := range []struct {
		name, reportHeader string
		// checks are the processes that the calls are meant for, "" means any.
		checks                     []string
		sent, reports, connections int
	}{
		{"the process", "", []string{"p1", "p1"}, 2, 1, 1},
		{"another process", "", []string{"p0"}, 0, 1, 1},
		{"any, then the process", "", []string{"", "p1", "", "p1"}, 4, 1, 2},
		{"closes behind a report", "Connection: close\r\n", []string{"p1", "p1"}, 2, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, pool := startReporting(t, "p1", c.reportHeader), NewPool(Options{DialTimeout: testTimeout})
			defer pool.CloseAllIdle()
			for _, process := range c.checks {
				call := &Call{Request: "r", Method: http.MethodPost, Target: "/", Host: "h", Matches: func(int, http.Header) Ownership { return Own }}
				if process != "" {
					call.Check = testCheck(process)
				}
				resp, err := pool.Send(ctx, "e", e.Addr().String(), call)
				if err != nil {
					if !errors.Is(err, ErrNotSent) {
						t.Error(err)
					}
					continue
				}
				_, _ = io.Copy(io.Discard, resp)
				resp.Close()
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.calls != c.sent || e.reports != c.reports || e.connections != c.connections {
				t.Errorf("%d calls, %d reports, %d connections", e.calls, e.reports, e.connections)
			}
		})
	}
}
