package forward

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
)

// TestOpenStreamOfACrashedEndpointGoesOn ends the process of an endpoint in the middle of a stream
// without chunks: the stream goes on elsewhere if it may, and does not look complete if not.
func TestOpenStreamOfACrashedEndpointGoesOn(t *testing.T) {
	const events = 8
	for name, c := range map[string]struct {
		route route.Route
		whole bool
	}{"resumable": {resumable, true}, "single run": {singleRunStream, false}} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, c.route, 2, events)
			b.replicas[0].Pace = 50 * time.Millisecond
			b.replicas[0].SetFaults(standin.ReplicaFaults{Unframed: true})
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/p/x", strings.NewReader("prompt"))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("X-Request-Id", "q")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			body, read := bufio.NewReader(resp.Body), ""
			for strings.Count(read, "\n\n") < 3 {
				line, err := body.ReadString('\n')
				if err != nil {
					t.Fatal(err)
				}
				read += line
			}
			b.replicas[0].Close()
			rest, err := io.ReadAll(body)
			read += string(rest)
			if want := expectedEvents("q", 1, events); (err == nil) != c.whole || c.whole && read != want || !strings.HasPrefix(want, read) {
				t.Errorf("error %v, %d runs, body %q", err, len(b.runs("q")), read)
			}
		})
	}
}
