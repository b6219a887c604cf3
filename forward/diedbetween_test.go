package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// startDying starts an endpoint that answers one request without a length and ends behind a part of
// its body: as with a process that is killed, its listener and its connection are closed regularly.
func startDying(t *testing.T, kind route.Kind, part string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		lines := deadLines("dying", req.Header.Get("X-Request-Id"), kind)
		_, _ = io.WriteString(c, rawhttp.FormNamed("open").Message(lines, part).Bytes)
		_ = l.Close()
	}()
	return l.Addr().String()
}

// deadLines returns the header lines of the response of an endpoint to a request.
func deadLines(endpointID, request string, kind route.Kind) string {
	lines := fmt.Sprintf("X-Request-Id: %s\r\nX-Server-Stamp: %s\r\n", request, standin.StampOf(endpointID, request))
	if kind == route.Streaming {
		lines += "Content-Type: text/event-stream\r\n"
	}
	return lines
}

// TestEndpointThatDiesInAnOpenResponse guards against a response without a length that looks complete
// though its endpoint was killed behind an event, or a part of its body.
func TestEndpointThatDiesInAnOpenResponse(t *testing.T) {
	for name, c := range map[string]struct {
		route  route.Route
		served bool
	}{
		"single stream":    {singleRunStream, false},
		"resumable stream": {resumable, true},
		"at most once":     {atMostOnce, false},
		"idempotent":       {idempotent, true},
	} {
		t.Run(name, func(t *testing.T) {
			kind := c.route.Kind
			whole, part := cutPlainBody, cutPlainBody[:5]
			if kind == route.Streaming {
				whole = events(0)
				part = strings.TrimSuffix(whole, events(2))
			}
			b := newTestbed(t, c.route, 0, 0)
			b.ignoreReleases()
			b.placer.endpoints = append(b.placer.endpoints, &endpoint.Endpoint{ID: "dying", Service: "s", Address: startDying(t, kind, part), Slots: 8})
			sound, err := rawhttp.Start(func(conn *net.TCPConn, req *http.Request, _ int) bool {
				body := whole
				if last := req.Header.Get(cutLastEvent); last == "2" {
					body = events(2)
				}
				_, _ = io.WriteString(conn, rawhttp.FormNamed("chunks").Message(deadLines("sound", req.Header.Get("X-Request-Id"), kind), body).Bytes)
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { b.pool.CloseAllIdle(); sound.Close() })
			b.placer.endpoints = append(b.placer.endpoints, &endpoint.Endpoint{ID: "sound", Service: "s", Address: sound.Address(), Slots: 8})
			_, got := b.send(context.Background(), "q", nil)
			success := got.status == http.StatusOK && got.complete
			if success && got.body != whole {
				t.Errorf("%q looks complete", got.body)
			}
			if !success && c.served {
				t.Errorf("not served: %+v", got)
			}
		})
	}
}
