package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestInvalidStatusIsNotPassedOn guards against callers whose connection ends without an answer, or who get an answer
// with a status that is none: an endpoint in trouble answers 000. What may be repeated is served by another
// endpoint, the rest gets 502.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, kind := range cutKinds() {
		if kind.cutAfter > 0 {
			continue
		}
		for _, status := range rawhttp.InvalidStatuses() {
			t.Run(kind.name+" "+status, func(t *testing.T) {
				t.Parallel()
				b := newTestbed(t, kind.route, 0, 0)
				b.ignoreReleases()
				for i, s := range []string{status, "200"} {
					id := fmt.Sprint("e", i)
					e, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, _ int) bool {
						_, _ = io.Copy(io.Discard, req.Body)
						body := kind.body(0)
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %s OK\r\n%sContent-Length: %d\r\n\r\n%s", s, kind.lines(id, req.Header.Get("X-Request-Id")), len(body), body)
						return true
					})
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { b.pool.CloseAllIdle(); e.Close() })
					b.placer.endpoints = append(b.placer.endpoints, &endpoint.Endpoint{ID: id, Service: "s", Address: e.Address(), Slots: 8})
				}
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				_, got := b.send(ctx, "q", nil)
				want := http.StatusBadGateway
				if kind.served {
					want = http.StatusOK
				}
				if got.status != want || !got.complete {
					t.Errorf("status %d, want %d, %q, complete: %t", got.status, want, got.body, got.complete)
				}
			})
		}
	}
}
