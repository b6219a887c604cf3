package detour

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/upstream"
)

// testHost is a host whose links to the endpoints may be cut.
type testHost struct {
	sender *Sender
	host   peers.Host
	server *httptest.Server
	served atomic.Int64
	cut    atomic.Bool
	// cutAddress is where its calls end while its links are cut.
	cutAddress string
	// stranded is what OnStranded was called with.
	stranded atomic.Bool
}

// closedAddress refuses connections.
const closedAddress = "127.0.0.1:1"

// startTestHosts starts hosts that know each other and six endpoints, all of which are e.
func startTestHosts(t *testing.T, n int, e *testEndpoint, adapt func(i int, o *Options)) []*testHost {
	t.Helper()
	hosts := make([]*testHost, n)
	var known []peers.Host
	for i := range hosts {
		h := &testHost{cutAddress: closedAddress}
		hosts[i] = h
		mux := http.NewServeMux()
		h.server = httptest.NewServer(mux)
		t.Cleanup(h.server.Close)
		t.Cleanup(h.server.CloseClientConnections)
		token := fmt.Sprint("token of ", i)
		h.host = peers.Host{Name: fmt.Sprint("host-", i), Address: h.server.URL, Zone: "z", Region: "r", Token: token}
		known = append(known, h.host)
		var ids []*endpoint.Endpoint
		for j := range 6 {
			ids = append(ids, &endpoint.Endpoint{ID: fmt.Sprint("e", j), Service: fmt.Sprint("s", j%2), State: endpoint.Ready})
		}
		pool := upstream.NewPool(upstream.Options{OnConnection: func(id string, began time.Time, err error) { h.sender.Links().Dialed(id, began, err) }})
		o := Options{
			Self: h.host, Pool: pool, Peers: &http.Transport{},
			Hosts: func() []peers.Host { return known },
			Endpoint: func(id string) *endpoint.Endpoint {
				if !strings.HasPrefix(id, "e") {
					return nil
				}
				return &endpoint.Endpoint{ID: id, Address: h.address(e)}
			},
			OnResponse: func(*endpoint.Endpoint, string, time.Time) func(int, http.Header) { return func(int, http.Header) {} },
			OnStranded: h.stranded.Store,
			Draining:   func() bool { return false },
			MaxCalls:   8, MaxBodyBytes: 1 << 20, Logger: log.NewNopLogger(),
		}
		if adapt != nil {
			adapt(i, &o)
		}
		h.sender = New(o)
		h.sender.Links().SetEndpoints(ids)
		server := NewServer(h.sender)
		mux.Handle("POST "+CallPath, httpjson.RequireSecret(token, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.served.Add(1)
			server.ServeCall(w, r)
		})))
		mux.Handle("POST "+ProbePath, httpjson.RequireSecret(token, http.HandlerFunc(server.ServeProbe)))
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = h.sender.Links().Serve(ctx) }()
	}
	return hosts
}

// address returns where a host reaches an endpoint.
func (h *testHost) address(e *testEndpoint) string {
	if h.cut.Load() {
		return h.cutAddress
	}
	return e.address
}

// strand cuts a host's links and waits until it knows.
func (h *testHost) strand(t *testing.T) {
	t.Helper()
	h.cut.Store(true)
	h.sender.Links().Suspect()
	eventually(t, "stranded", h.sender.Links().Stranded)
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not ", what)
		}
	}
}

// send sends a call from a host, and returns the response and its body.
func (h *testHost) send(ctx context.Context, e *testEndpoint, target string, body []byte) (*upstream.Response, string, error) {
	resp, err := h.sender.Send(ctx, "e0", h.address(e), &upstream.Call{
		Request: "r1", Method: http.MethodPost, Target: target, Host: "caller.example", Header: http.Header{"X-Request-Id": {"r1"}}, Body: body,
		Matches: platform.Answers("r1"),
	})
	if err != nil {
		return nil, "", err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	return resp, string(data), err
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// hide makes a host know no endpoint.
func hide(hidden bool, o *Options) {
	known := o.Endpoint
	o.Endpoint = func(id string) *endpoint.Endpoint {
		if hidden {
			return nil
		}
		return known(id)
	}
}
