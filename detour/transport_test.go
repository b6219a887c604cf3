package detour

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/upstream"
)

// startHTTPHosts starts hosts whose endpoints have base URLs, and returns a client of each.
func startHTTPHosts(t *testing.T, n int, e *testEndpoint) ([]*testHost, []*http.Client) {
	t.Helper()
	transports := make([]*http.Transport, n)
	var hosts []*testHost
	hosts = startTestHosts(t, n, e, func(i int, o *Options) {
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			began := time.Now()
			if hosts[i].cut.Load() {
				address = closedAddress
			}
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			hosts[i].sender.Links().Dialed("e0", began, err)
			return conn, err
		}
		o.MaxCalls = cutCalls
		base := "http://" + e.address
		transports[i] = &http.Transport{DialContext: dial}
		o.Endpoint = func(id string) *endpoint.Endpoint { return &endpoint.Endpoint{ID: id, Address: base} }
		o.Pool = &linkPool{HTTPPool{Transport: transports[i], Dial: dial, CloseIdle: transports[i].CloseIdleConnections}, func(id string, began time.Time, err error) {
			hosts[i].sender.Links().Dialed(id, began, err)
		}}
	})
	clients := make([]*http.Client, n)
	for i := range hosts {
		clients[i] = &http.Client{Transport: NewTransport(hosts[i].sender, transports[i], func(u *url.URL) string {
			if u.Host != e.address {
				return ""
			}
			return "e0"
		})}
	}
	return hosts, clients
}

// linkPool reports each probe under its endpoint's id, though all endpoints share an address.
type linkPool struct {
	HTTPPool
	dialed func(id string, began time.Time, err error)
}

func (p *linkPool) Probe(ctx context.Context, id, address string) error {
	began := time.Now()
	err := p.HTTPPool.Probe(ctx, id, address)
	p.dialed(id, began, err)
	return err
}

// post sends a body that can't be had again.
func post(t *testing.T, c *http.Client, e *testEndpoint, target, body string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(WithRequest(testContext(t), "r1"), http.MethodPost, "http://"+e.address+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.GetBody = nil
	r.Host = "caller.example"
	return c.Do(r)
}

// TestClientOfStrandedHostIsServedThroughAnother sends requests of an http.Client while its host
// is connected, in the moment in which its links are lost, and once it is known to be stranded.
// Each arrives unchanged and once.
func TestClientOfStrandedHostIsServedThroughAnother(t *testing.T) {
	e := startTestEndpoint(t)
	hosts, clients := startHTTPHosts(t, 2, e)
	exchange := func(phase, target, body string, status int, want string, served int64) {
		t.Helper()
		before, helped := e.calls.Load(), hosts[1].served.Load()
		resp, err := post(t, clients[0], e, target, body)
		if err != nil {
			t.Fatalf("%s, %s: %v", phase, target, err)
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != status || string(data) != want {
			t.Errorf("%s, %s: status %d, %q, error %v", phase, target, resp.StatusCode, data, err)
		}
		if n := e.calls.Load() - before; n != 1 || hosts[1].served.Load()-helped != served {
			t.Errorf("%s, %s: %d calls reached endpoints, %d through the other host", phase, target, n, hosts[1].served.Load()-helped)
		}
	}
	exchange("connected", "/echo", "content", http.StatusOK, "POST /echo caller.example content", 0)
	// The links are lost, which the host learns while it sends the next request.
	hosts[0].cut.Store(true)
	clients[0].CloseIdleConnections()
	hosts[0].sender.opts.Pool.CloseAllIdle()
	for i := 1; i < 6; i++ {
		hosts[0].sender.Links().Dialed("e"+string(rune('0'+i)), time.Now(), errors.New("refused"))
	}
	exchange("losing links", "/echo", "content", http.StatusOK, "POST /echo caller.example content", 1)
	eventually(t, "stranded", hosts[0].sender.Links().Stranded)
	large := strings.Repeat("x", 200<<10)
	exchange("stranded", "/echo?a=%2F1", "content", http.StatusOK, "POST /echo?a=%2F1 caller.example content", 1)
	exchange("stranded", "/echo", large, http.StatusOK, "POST /echo caller.example "+large, 1)
	exchange("stranded", "/echo", "", http.StatusOK, "POST /echo caller.example ", 1)
	exchange("stranded", "/status", "", http.StatusTeapot, "POST /status caller.example ", 1)
	exchange("stranded", "/stream", "", http.StatusOK, "id: 0\n\nid: 1\n\nid: 2\n\n", 1)
}

// TestEventsOfAClientAreNotHeldUp reads the events of a stream through another host as they are
// made.
func TestEventsOfAClientAreNotHeldUp(t *testing.T) {
	e := startTestEndpoint(t)
	hosts, clients := startHTTPHosts(t, 2, e)
	hosts[0].strand(t)
	resp, err := post(t, clients[0], e, "/stream", "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	began := time.Now()
	if line, err := bufio.NewReader(resp.Body).ReadString('\n'); line != "id: 0\n" || err != nil || time.Since(began) > 45*time.Millisecond {
		t.Errorf("first event %q after %s, error %v: three take 150 ms", line, time.Since(began), err)
	}
}

// TestClientIsToldWhatWasNotSent breaks requests in each way: only what certainly was not sent is
// said to be so, and no part of a response looks whole.
func TestClientIsToldWhatWasNotSent(t *testing.T) {
	e := startTestEndpoint(t)
	hosts, clients := startHTTPHosts(t, 2, e)
	hosts[0].strand(t)
	if resp, err := post(t, clients[0], e, "/reset", "x"); !errors.Is(err, upstream.ErrNoResponse) || errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("the endpoint broke off: %v, %v", resp, err)
	}
	resp, err := post(t, clients[0], e, "/cut", "x")
	if err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("part of a body looks whole: %q", data)
	}
	_ = resp.Body.Close()
	hosts[1].strand(t)
	before := e.calls.Load()
	if resp, err := post(t, clients[0], e, "/echo", "x"); !errors.Is(err, upstream.ErrNotSent) || e.calls.Load() != before {
		t.Errorf("nobody helps: %v, %v, %d calls", resp, err, e.calls.Load()-before)
	}
}

// TestCallOfAClientEndsWithIt gives up a request that another host makes: the endpoint sees it.
func TestCallOfAClientEndsWithIt(t *testing.T) {
	e := startTestEndpoint(t)
	hosts, clients := startHTTPHosts(t, 2, e)
	hosts[0].strand(t)
	ctx, cancel := context.WithCancel(testContext(t))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+"/hang", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, cancel)
	if resp, err := clients[0].Do(r); err == nil {
		t.Errorf("status %d", resp.StatusCode)
	}
	eventually(t, "left", func() bool { return e.left.Load() == 1 })
}
