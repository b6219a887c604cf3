package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestEndpointThatResetsBeforeItReadTheBody has an endpoint answer without a length before it has read
// a long request, and reset the connection: no client may take that for a whole response, and what may
// run once is sent once.
func TestEndpointThatResetsBeforeItReadTheBody(t *testing.T) {
	const requests = 20
	for _, kind := range cutKinds() {
		if kind.cutAfter > 0 {
			continue
		}
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, kind.route, 0, 0)
			b.ignoreReleases()
			var sent atomic.Int64
			e, err := rawhttp.StartUnread(func(c *net.TCPConn, req *http.Request, _ int) bool {
				sent.Add(1)
				id := req.Header.Get("X-Request-Id")
				lines := fmt.Sprintf("X-Request-Id: %s\r\nX-Server-Stamp: %s\r\n", id, standin.StampOf("e0", id))
				body := "part"
				if kind.streams() {
					lines, body = lines+"Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n"
				}
				_, _ = io.ReadFull(req.Body, make([]byte, 1<<10))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+lines+"\r\n"+body)
				// The host reads the response before the reset.
				time.Sleep(2 * time.Millisecond)
				_ = c.SetLinger(0)
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			for i := range kind.route.MaxAttempts {
				b.placer.endpoints = append(b.placer.endpoints, &endpoint.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: e.Address(), Slots: 8})
			}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			for range requests {
				before := sent.Load()
				_, got := b.send(ctx, strings.Repeat("x", 512<<10), nil)
				if got.status == http.StatusOK && got.complete || got.complete && got.status != http.StatusBadGateway {
					t.Errorf("status %d, %q looks complete", got.status, got.body)
				}
				if n := sent.Load() - before; !kind.route.Repeatable() && n != 1 {
					t.Errorf("sent %d times", n)
				}
			}
		})
	}
}
