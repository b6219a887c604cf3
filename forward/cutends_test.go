package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/connend"
	"github.com/peridotmount/peridotmount/standin"
)

// TestStreamThatIsCutHereLooksCut ends streams behind events in each way in which a host does, for
// clients of HTTP/1.1, with and without further requests on their connections, and of HTTP/1.0: of
// these, the end of the connection would be the regular end.
func TestStreamThatIsCutHereLooksCut(t *testing.T) {
	const after = 3
	silent := standin.ReplicaFaults{SilentAfter: after}
	for name, c := range map[string]struct {
		faults     standin.ReplicaFaults
		resumable  bool
		deadlineMs int
		end        func(b *testbed)
	}{
		"broken off":            {faults: standin.ReplicaFaults{CutAfter: after}},
		"no other endpoint":     {faults: standin.ReplicaFaults{CutAfter: after}, resumable: true},
		"event left out":        {faults: standin.ReplicaFaults{SkipAfter: after}},
		"ends inside an event":  {faults: standin.ReplicaFaults{EndInsideAfter: after}},
		"bytes that are no one": {faults: standin.ReplicaFaults{InsideAfter: after, Inside: "failed\n\n"}},
		"deadline":              {faults: silent, deadlineMs: 300},
		"end of the host":       {faults: silent, end: func(b *testbed) { b.forwarder.EndRequests() }},
		"endpoint ends":         {faults: silent, end: func(b *testbed) { b.replicas[0].Close() }},
	} {
		for _, client := range []string{"HTTP/1.1\r\n", "HTTP/1.1\r\nConnection: close\r\n", "HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n"} {
			t.Run(fmt.Sprintf("%s, %q", name, client), func(t *testing.T) {
				kind := singleRunStream
				if c.resumable {
					kind = resumable
				}
				b := newTestbed(t, kind, 1, 8)
				b.ignoreReleases()
				b.replicas[0].SetFaults(c.faults)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				server := &http.Server{Handler: connend.Handler(b.forwarder)}
				t.Cleanup(func() { _ = server.Close() })
				go func() { _ = server.Serve(l) }()
				conn, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = conn.Close() })
				deadline := ""
				if c.deadlineMs > 0 {
					deadline = fmt.Sprintf("X-Deadline-Ms: %d\r\n", c.deadlineMs)
				}
				if _, err := fmt.Fprintf(conn, "POST /p/x %sHost: h.example\r\nX-Request-Id: q1\r\n%sContent-Length: 0\r\n\r\n", client, deadline); err != nil {
					t.Fatal(err)
				}
				_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
				var got strings.Builder
				for c.end != nil && !strings.Contains(got.String(), fmt.Sprint("id: ", after)) {
					part := make([]byte, 1024)
					n, err := conn.Read(part)
					if got.Write(part[:n]); err != nil {
						t.Fatal(err)
					}
				}
				if c.end != nil {
					c.end(b)
				}
				_, err = io.Copy(&got, conn)
				old := strings.HasPrefix(client, "HTTP/1.0")
				if strings.HasSuffix(got.String(), "\r\n0\r\n\r\n") || old && err == nil || !strings.Contains(got.String(), "id: 1\n") && err == nil {
					t.Errorf("got %q, error %v", got.String(), err)
				}
			})
		}
	}
}
