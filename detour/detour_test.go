package detour

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/upstream"
)

const testTimeout = 20 * time.Second

// TestStrandedHostSendsThroughAnother cuts one host's links: its calls arrive unchanged and once,
// through the other host, and directly again once the links are whole.
func TestStrandedHostSendsThroughAnother(t *testing.T) {
	e := startTestEndpoint(t)
	hosts := startTestHosts(t, 2, e, nil)
	ctx := testContext(t)
	hosts[0].strand(t)
	eventually(t, "told that it is stranded", hosts[0].stranded.Load)
	large := bytes.Repeat([]byte("x"), 200<<10)
	for _, c := range []struct {
		target string
		body   []byte
		status int
		want   string
	}{
		{"/echo?a=%2F1", []byte("content"), 200, "POST /echo?a=%2F1 caller.example content"},
		{"/echo", large, 200, "POST /echo caller.example " + string(large)},
		{"/status", nil, http.StatusTeapot, "POST /status caller.example "},
		{"/close", nil, 200, "whole"},
		{"/stream", nil, 200, "id: 0\n\nid: 1\n\nid: 2\n\n"},
	} {
		before := e.calls.Load()
		resp, body, err := hosts[0].send(ctx, e, c.target, c.body)
		if err != nil || resp.Status != c.status || body != c.want || resp.Via != "host-1" {
			t.Errorf("%s: %+v, error %v, %d bytes of %d", c.target, resp, err, len(body), len(c.want))
		}
		if n := e.calls.Load() - before; n != 1 {
			t.Errorf("%s reached endpoints %d times", c.target, n)
		}
	}
	hosts[0].cut.Store(false)
	eventually(t, "direct again", func() bool {
		resp, _, err := hosts[0].send(ctx, e, "/echo", nil)
		return err == nil && resp.Via == "" && hosts[0].sender.Links().Connected()
	})
	eventually(t, "told that it is not stranded any more", func() bool { return !hosts[0].stranded.Load() })
}

// TestHostWhoseConnectionsAreResetIsStranded lets connections be made and resets them: calls go
// through another host all the same.
func TestHostWhoseConnectionsAreResetIsStranded(t *testing.T) {
	e := startTestEndpoint(t)
	hosts := startTestHosts(t, 2, e, nil)
	hosts[0].cutAddress = startResetter(t)
	hosts[0].cut.Store(true)
	ctx := testContext(t)
	began := time.Now()
	eventually(t, "served through the other host", func() bool {
		// The call may have been sent as its connection was reset: what may run once is lost.
		resp, _, err := hosts[0].send(ctx, e, "/echo", nil)
		if err != nil && !errors.Is(err, upstream.ErrNoResponse) && !errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("error %v", err)
		}
		hosts[0].sender.Links().Suspect()
		return err == nil && resp.Via == "host-1"
	})
	if took := time.Since(began); took > time.Second {
		t.Errorf("stranded after %s", took)
	}
}

// TestEventsAreNotHeldUp reads the events of a stream through another host as they are made.
func TestEventsAreNotHeldUp(t *testing.T) {
	e := startTestEndpoint(t)
	hosts := startTestHosts(t, 2, e, nil)
	hosts[0].strand(t)
	resp, err := hosts[0].sender.Send(testContext(t), "e0", closedAddress, &upstream.Call{
		Request: "r1", Method: http.MethodPost, Target: "/stream", Host: "h", Header: http.Header{"X-Request-Id": {"r1"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	lines := bufio.NewReader(resp)
	began := time.Now()
	if line, err := lines.ReadString('\n'); line != "id: 0\n" || err != nil || time.Since(began) > 45*time.Millisecond {
		t.Errorf("first event %q after %s, error %v: three take 150 ms", line, time.Since(began), err)
	}
}

// TestBreakOnTheWayIsToldFromOneAtTheEndpoint breaks calls at the endpoint and at the host that
// makes them, before and after the head of the response. None may look complete, and only what
// certainly was not sent is said to be so.
func TestBreakOnTheWayIsToldFromOneAtTheEndpoint(t *testing.T) {
	e := startTestEndpoint(t)
	hosts := startTestHosts(t, 2, e, nil)
	ctx := testContext(t)
	hosts[0].strand(t)
	if _, body, err := hosts[0].send(ctx, e, "/cut", nil); !errors.Is(err, upstream.ErrTruncated) || body != "" && body != "part" {
		t.Errorf("response cut at the endpoint: %q, error %v", body, err)
	}
	if _, _, err := hosts[0].send(ctx, e, "/reset", nil); !errors.Is(err, upstream.ErrNoResponse) || errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("connection reset at the endpoint: error %v", err)
	}
	for _, target := range []string{"/stream", "/hang"} {
		before := e.calls.Load()
		go func() {
			for e.calls.Load() == before {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(30 * time.Millisecond)
			hosts[1].server.CloseClientConnections()
		}()
		if _, body, err := hosts[0].send(ctx, e, target, nil); !errors.Is(err, upstream.ErrPathLost) || errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("%s: host lost on the way: %q, error %v", target, body, err)
		}
	}
	hosts[1].server.CloseClientConnections()
	hosts[1].server.Close()
	before := e.calls.Load()
	if _, _, err := hosts[0].send(ctx, e, "/echo", nil); !errors.Is(err, upstream.ErrCutOff) || !errors.Is(err, upstream.ErrNotSent) || e.calls.Load() != before {
		t.Errorf("no host left: error %v", err)
	}
}

// TestStrandedHostsPassNothingOn cuts all hosts: a call is refused at once, passes through no
// host, and reaches no endpoint.
func TestStrandedHostsPassNothingOn(t *testing.T) {
	e := startTestEndpoint(t)
	hosts := startTestHosts(t, 4, e, nil)
	for _, h := range hosts {
		h.strand(t)
	}
	began := time.Now()
	_, _, err := hosts[0].send(testContext(t), e, "/echo", nil)
	if !errors.Is(err, upstream.ErrCutOff) || e.calls.Load() != 0 || time.Since(began) > time.Second {
		t.Errorf("error %v after %s, %d calls", err, time.Since(began), e.calls.Load())
	}
	for i, h := range hosts[1:] {
		if h.served.Load() > 1 {
			t.Errorf("host %d was asked %d times for one call", i+1, h.served.Load())
		}
	}
	if _, _, err := hosts[0].send(testContext(t), e, "/echo", nil); !errors.Is(err, upstream.ErrCutOff) {
		t.Errorf("second call: error %v", err)
	}
}

// TestFullHostRefusesAtOnce fills the calls that one host makes for others: the next host is
// asked, and once both are full the call is refused at once.
func TestFullHostRefusesAtOnce(t *testing.T) {
	e := startTestEndpoint(t)
	hosts := startTestHosts(t, 3, e, func(_ int, o *Options) { o.MaxCalls = 1 })
	hosts[0].strand(t)
	ctx, cancel := context.WithCancel(testContext(t))
	for range 2 {
		before := e.calls.Load()
		go func() { _, _, _ = hosts[0].send(ctx, e, "/hang", nil) }()
		eventually(t, "call in progress", func() bool { return e.calls.Load() > before })
	}
	began := time.Now()
	if _, _, err := hosts[0].send(testContext(t), e, "/echo", nil); !errors.Is(err, upstream.ErrCutOff) || time.Since(began) > time.Second {
		t.Errorf("error %v after %s", err, time.Since(began))
	}
	// The client leaves: so do the calls made for it.
	cancel()
	eventually(t, "calls ended", func() bool { return e.left.Load() == 2 })
	eventually(t, "served again", func() bool {
		_, _, err := hosts[0].send(testContext(t), e, "/echo", nil)
		return err == nil
	})
}

// TestHostsThatCanNotHelpArePassedOver has the nearest hosts refuse calls for each reason.
func TestHostsThatCanNotHelpArePassedOver(t *testing.T) {
	e := startTestEndpoint(t)
	for name, adapt := range map[string]func(i int, o *Options){
		"leaving":     func(i int, o *Options) { o.Draining = func() bool { return i == 1 } },
		"unlisted":    func(i int, o *Options) { hide(i == 1, o) },
		"bodies full": func(i int, o *Options) { o.MaxBodyBytes = int64(10 * max(0, i-1) << 10) },
	} {
		t.Run(name, func(t *testing.T) {
			hosts := startTestHosts(t, 3, e, adapt)
			hosts[0].strand(t)
			for range 3 {
				if resp, _, err := hosts[0].send(testContext(t), e, "/echo", []byte("body")); err != nil || resp.Via != "host-2" {
					t.Errorf("%+v, error %v", resp, err)
				}
			}
		})
	}
}

// TestLeavingHostKeepsNoConnection has a host that shuts down refuse a call. A call on a connection
// that it kept could cross its end, and would count as one that may have run.
func TestLeavingHostKeepsNoConnection(t *testing.T) {
	e := startTestEndpoint(t)
	hosts := startTestHosts(t, 2, e, func(i int, o *Options) { o.Draining = func() bool { return i == 1 } })
	req, err := newCallRequest(testContext(t), &hosts[1].host, "e0", &upstream.Call{Request: "r", Method: http.MethodGet, Target: "/echo"})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if !resp.Close || resp.Header.Get(outcomeHeader) != string(leaving) {
		t.Errorf("outcome %q, connection ends %t", resp.Header.Get(outcomeHeader), resp.Close)
	}
}

// TestRefusedConnectionOfAStrandedHostIsNoCrash checks that a host which is refused by all
// endpoints takes none for crashed, and that it learns of a crash through another host.
func TestRefusedConnectionOfAStrandedHostIsNoCrash(t *testing.T) {
	e := startTestEndpoint(t)
	hosts := startTestHosts(t, 2, e, func(_ int, o *Options) {
		known := o.Endpoint
		o.Endpoint = func(id string) *endpoint.Endpoint {
			found := known(id)
			if found != nil && id == "e5" {
				found.Address = closedAddress
			}
			return found
		}
	})
	refused := func(h *testHost, id string) bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		err := h.sender.Dial(ctx, &endpoint.Endpoint{ID: id, Address: h.sender.opts.Endpoint(id).Address})
		return err != nil && strings.Contains(err.Error(), "refused") && isRefused(err)
	}
	if !refused(hosts[0], "e5") || refused(hosts[0], "e1") {
		t.Error("a connected host does not tell the endpoint that has ended")
	}
	hosts[0].cut.Store(true)
	if refused(hosts[0], "e1") {
		t.Error("a host that is refused by all endpoints takes one for crashed")
	}
	eventually(t, "stranded", hosts[0].sender.Links().Stranded)
	if !refused(hosts[0], "e5") || refused(hosts[0], "e1") {
		t.Error("a stranded host does not tell the endpoint that has ended")
	}
}

// TestHostThatWasLostIsNotAskedAgainAtOnce loses a host in the middle of a response: the next attempt
// goes through another, also if the first seems to be there.
func TestHostThatWasLostIsNotAskedAgainAtOnce(t *testing.T) {
	e := startTestEndpoint(t)
	hosts := startTestHosts(t, 3, e, nil)
	hosts[0].strand(t)
	ctx := testContext(t)
	for _, target := range []string{"/stream", "/hang"} {
		resp, _, err := hosts[0].send(ctx, e, "/echo", nil)
		if err != nil {
			t.Fatal(err)
		}
		first := resp.Via
		before := e.calls.Load()
		go func() {
			for e.calls.Load() == before {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(30 * time.Millisecond)
			for _, h := range hosts[1:] {
				if h.host.Name == first {
					h.server.CloseClientConnections()
				}
			}
		}()
		if _, _, err := hosts[0].send(ctx, e, target, nil); !errors.Is(err, upstream.ErrPathLost) {
			t.Fatalf("%s: error %v", target, err)
		}
		if resp, _, err = hosts[0].send(ctx, e, "/echo", nil); err != nil || resp.Via == first {
			t.Errorf("%s: through %s, which was lost, error %v", target, first, err)
		}
		time.Sleep(slowTime)
	}
}
