package detour

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/upstream"
)

// TestClientsOpenResponseOfACrashedEndpointIsNoWholeOne guards against a response without length or
// chunks that a client takes for whole because the process of its endpoint ended.
func TestClientsOpenResponseOfACrashedEndpointIsNoWholeOne(t *testing.T) {
	for name, crashes := range map[string]bool{"crashes": true, "lives on": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe part")
				if crashes {
					_ = l.Close()
				}
				_ = conn.Close()
			}()
			_, clients := startHTTPHosts(t, 1, &testEndpoint{address: l.Addr().String()})
			resp, err := post(t, clients[0], &testEndpoint{address: l.Addr().String()}, "/", "body")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			if string(body) != "the part" || crashes != errors.Is(err, upstream.ErrTruncated) || !crashes && err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// TestOpenResponseThroughAnotherHostAtItsDeadline guards against a response without length or chunks that is
// taken for whole though its endpoint may have stopped at the deadline, with and without another host that
// makes the call.
func TestOpenResponseThroughAnotherHostAtItsDeadline(t *testing.T) {
	for name, stranded := range map[string]bool{"own link": false, "another host": true} {
		t.Run(name, func(t *testing.T) {
			r, err := standin.StartReplica("e0", 0)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			r.SetFaults(standin.ReplicaFaults{Unframed: true})
			hosts := startTestHosts(t, 2, &testEndpoint{address: r.Address()}, func(int, *Options) {})
			address := r.Address()
			if stranded {
				hosts[0].strand(t)
				address = closedAddress
			}
			for id, left := range map[string]time.Duration{"none": 0, "long": testTimeout, "over": -time.Millisecond} {
				call := &upstream.Call{Request: id, Method: http.MethodPost, Target: "/x", Host: "caller.example",
					Header: http.Header{"X-Request-Id": {id}}, Matches: platform.Answers(id)}
				if left != 0 {
					call.Deadline = time.Now().Add(left)
				}
				resp, err := hosts[0].sender.Send(testContext(t), "e0", address, call)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadAll(resp); errors.Is(err, upstream.ErrTruncated) != (id == "over") || err != nil && id != "over" {
					t.Errorf("deadline %s: error %v", id, err)
				}
				resp.Close()
			}
		})
	}
}
