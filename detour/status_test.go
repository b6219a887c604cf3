package detour

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
	"github.com/peridotmount/peridotmount/upstream"
)

// statusCall returns a call to an endpoint whose answer has no status.
func statusCall() *upstream.Call {
	return &upstream.Call{
		Request: "r", Method: http.MethodPost, Target: "/x", Host: "caller.example", Header: http.Header{"X-Request-Id": {"r"}}, Body: []byte("q"),
		Matches: platform.Answers("r"),
	}
}

// TestInvalidStatusThroughAnotherHostIsNoResponse guards against an answer whose status is none that another host, also one
// of an older build, passes on, and against one on an http.Client's way.
func TestInvalidStatusThroughAnotherHostIsNoResponse(t *testing.T) {
	for _, status := range rawhttp.InvalidStatuses() {
		e, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, _ int) bool {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" OK\r\nX-Request-Id: r\r\nContent-Length: 2\r\n\r\nok")
			return false
		})
		if err != nil {
			t.Fatal(err)
		}
		hosts := startTestHosts(t, 2, &testEndpoint{address: e.Address()}, func(i int, o *Options) {
			if i == 1 {
				o.Pool = upstream.NewPool(upstream.Options{DialTimeout: testTimeout})
			}
		})
		hosts[0].strand(t)
		if _, err := hosts[0].sender.Send(testContext(t), "e0", closedAddress, statusCall()); !errors.Is(err, upstream.ErrNoResponse) {
			t.Errorf("status %s through another host: error %v", status, err)
		}
		pool := &HTTPPool{Transport: &http.Transport{}}
		if _, err := pool.Send(testContext(t), "e0", "http://"+e.Address(), statusCall()); !errors.Is(err, upstream.ErrNoResponse) {
			t.Errorf("status %s over a transport: error %v", status, err)
		}
		e.Close()
	}
	older := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Trailer", outcomeTrailer)
		_, _ = fmt.Fprint(w, `{"status":0,"header":"","length":2}`+"\nok")
		w.Header().Set(outcomeTrailer, string(answered))
	}))
	t.Cleanup(older.Close)
	hosts := startTestHosts(t, 1, &testEndpoint{address: closedAddress}, nil)
	host := &peers.Host{Name: "older", Address: older.URL}
	if _, result, err := hosts[0].sender.ask(testContext(t), host, "e0", statusCall()); !errors.Is(err, upstream.ErrNoResponse) || !result.tried() {
		t.Errorf("through a host of an older build: outcome %q, error %v", result, err)
	}
}
