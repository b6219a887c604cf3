package admission

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
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// waitTimeout is the timeout of every wait in these tests.
const waitTimeout = 20 * time.Second

// host is a host of the system, which takes part in the ticket exchange as home and
// as entry.
type host struct {
	duty   *Duty
	client *Client
	server *httptest.Server
}

// exchange is a ticket exchange between two hosts for one engine. The view decides
// which host is the engine's home; the other one is the entry.
type exchange struct {
	hosts map[string]*host
	view  atomic.Pointer[membership.View]
	// canceled receives the IDs of the streams cancelled at the engine.
	canceled chan string
	home     string
	entry    string
}

func newExchange(t *testing.T, slots int) *exchange {
	t.Helper()
	x := &exchange{hosts: make(map[string]*host), canceled: make(chan string, 100)}
	engines := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x.canceled <- strings.TrimPrefix(r.URL.Path, "/streams/")
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(engines.Close)
	x.addToHostList(platform.Host{
		Name: "e", Role: platform.RoleEngine, State: platform.HostLive, Address: engines.URL, Slots: slots,
	})
	for _, name := range []string{"a", "b"} {
		x.addHost(t, name)
	}
	view := x.view.Load()
	home, _ := view.Home(view.Hosts[0])
	x.home, x.entry = home.Name, "a"
	if x.home == "a" {
		x.entry = "b"
	}
	return x
}

func (x *exchange) addHost(t *testing.T, name string) {
	client := &http.Client{Transport: &http.Transport{}}
	h := &host{}
	view := x.view.Load
	h.duty = NewDuty(DutyOptions{
		Host: name, View: view, Home: Options{Lease: 300 * time.Millisecond, ReserveShare: 0.01}, Peers: client, Engines: client,
		Secret: "s", ReportInterval: time.Second, Logger: log.NewNopLogger(),
	})
	h.client = NewClient(ClientOptions{
		Host: name, View: view, Local: h.duty, Urgent: client, Online: client, Batch: client,
		Secret: "s", TicketTimeout: 2 * keepAliveInterval, Renew: 50 * time.Millisecond,
	})
	h.server = httptest.NewServer(NewHandler(h.duty, h.client))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		h.server.CloseClientConnections()
		h.server.Close()
	})
	for _, s := range []interface{ Serve(context.Context) error }{h.duty, NewRevoker(h.duty), NewRenewer(h.client), NewReleaser(h.client)} {
		go func() { _ = s.Serve(ctx) }()
	}
	x.hosts[name] = h
	x.addToHostList(platform.Host{Name: name, Role: platform.RoleSystem, State: platform.HostLive, Address: h.server.URL})
}

// addToHostList adds a host to the host list.
func (x *exchange) addToHostList(h platform.Host) {
	var hosts []platform.Host
	if old := x.view.Load(); old != nil {
		hosts = append(hosts, old.Hosts...)
	}
	x.view.Store(&membership.View{Hosts: append(hosts, h)})
}

func (x *exchange) acquire(t *testing.T, id string, class objects.Class) *Ticket {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r := request(id, class)
	r.Endpoint = "e"
	ticket, err := x.hosts[x.entry].client.Acquire(ctx, r)
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	return ticket
}

// load returns the load of the engine as seen by the Duty of a host; the zero Load
// if that host has no home for it.
func (x *exchange) load(name string) Load {
	out := make(chan Load, 1)
	_ = x.hosts[name].duty.others.Offer(func(d *Duty, _ time.Time) {
		if h := d.homes["e"]; h != nil {
			out <- h.Load()
			return
		}
		out <- Load{}
	})
	return <-out
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestRevocationReachesEntryAndEngine(t *testing.T) {
	x := newExchange(t, 1)
	batch := x.acquire(t, "batch", objects.ClassBatch)
	urgent := x.hosts[x.entry].client.AcquireWithoutWait(&Request{Ticket: "urgent", Endpoint: "e", Class: objects.ClassUrgent})
	select {
	case <-batch.Revoked():
	case <-time.After(waitTimeout):
		t.Fatal("the entry did not receive the revocation")
	}
	select {
	case id := <-x.canceled:
		if id != "batch" {
			t.Errorf("cancelled stream %q at the engine, want \"batch\"", id)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the engine did not receive the cancellation")
	}
	batch.Release()
	eventually(t, "only the urgent ticket in use", func() bool { return x.load(x.home).Running == 1 })
	urgent.Release()
	eventually(t, "no tickets in use", func() bool { return x.load(x.home).Running == 0 })
}

// TestLongWaitDoesNotTimeOut guards against a request failing with ErrHomeUnreachable
// because it is queued for longer than the ticket timeout. Meanwhile the lease of the
// running ticket must be renewed.
func TestLongWaitDoesNotTimeOut(t *testing.T) {
	x := newExchange(t, 1)
	first := x.acquire(t, "first", objects.ClassOnline)
	time.AfterFunc(8*keepAliveInterval, first.Release)
	x.acquire(t, "second", objects.ClassOnline)
}

func TestUnresponsiveHomeIsSkipped(t *testing.T) {
	x := newExchange(t, 1)
	unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	t.Cleanup(unresponsive.Close)
	t.Cleanup(unresponsive.CloseClientConnections)
	hosts := append([]platform.Host(nil), x.view.Load().Hosts...)
	for i := range hosts {
		if hosts[i].Name == x.home {
			hosts[i].Address = unresponsive.URL
		}
	}
	x.view.Store(&membership.View{Hosts: hosts})
	client := x.hosts[x.entry].client
	r := request("r", objects.ClassOnline)
	r.Endpoint = "e"
	if _, err := client.Acquire(context.Background(), r); !errors.Is(err, ErrHomeUnreachable) {
		t.Fatalf("got error %v, want ErrHomeUnreachable", err)
	}
	if client.Reachable("e") {
		t.Error("the home is still reported as reachable right after a timeout")
	}
}

func TestTicketsOfDeadEntryExpire(t *testing.T) {
	x := newExchange(t, 2)
	x.acquire(t, "one", objects.ClassOnline)
	x.acquire(t, "two", objects.ClassOnline)
	client := x.hosts[x.entry].client
	client.mu.Lock()
	client.held = make(map[string]*Ticket)
	client.mu.Unlock()
	eventually(t, "leases expired", func() bool { return x.load(x.home).Running == 0 })
}

// TestNewHomeLearnsFromRenewalsOverHTTP removes the home from the host list. The
// other host becomes the home and must learn from renewals of the tickets that it
// did not grant, so that it does not grant their slots again.
func TestNewHomeLearnsFromRenewalsOverHTTP(t *testing.T) {
	x := newExchange(t, 4)
	for i := range 3 {
		x.acquire(t, fmt.Sprint("t", i), objects.ClassBatch)
	}
	var hosts []platform.Host
	for _, h := range x.view.Load().Hosts {
		if h.Name != x.home {
			hosts = append(hosts, h)
		}
	}
	x.view.Store(&membership.View{Hosts: hosts})
	eventually(t, "tickets counted by the new home", func() bool { return x.load(x.entry).Running == 3 })
	eventually(t, "leases expired at the old home", func() bool { return x.load(x.home).Running == 0 })
}

func TestCancelledRequestIsWithdrawn(t *testing.T) {
	x := newExchange(t, 1)
	first := x.acquire(t, "first", objects.ClassOnline)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	r := request("gone", objects.ClassOnline)
	r.Endpoint = "e"
	go func() {
		_, err := x.hosts[x.entry].client.Acquire(ctx, r)
		done <- err
	}()
	eventually(t, "request queued", func() bool { return x.load(x.home).Waiting == 1 })
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
	eventually(t, "request withdrawn", func() bool { return x.load(x.home).Waiting == 0 })
	first.Release()
	eventually(t, "no tickets in use after the release", func() bool { return x.load(x.home).Running == 0 })
}

// TestRepeatedRequestGetsTwoOutcomes repeats a request for a ticket that is still
// queued, as an entry does after a lost connection. Both requests must get an
// outcome.
func TestRepeatedRequestGetsTwoOutcomes(t *testing.T) {
	x := newExchange(t, 1)
	first := x.acquire(t, "first", objects.ClassOnline)
	r := request("twice", objects.ClassOnline)
	r.Endpoint = "e"
	duty := x.hosts[x.home].duty
	older, newer := duty.Acquire(r), duty.Acquire(r)
	if out := <-older; out.Granted || out.Reason != ReasonAbandoned {
		t.Errorf("older request: got %+v, want it refused as abandoned", out)
	}
	first.Release()
	if out := <-newer; !out.Granted {
		t.Errorf("newer request: got %+v, want it granted", out)
	}
}

func TestProberReportsLoadedAdapters(t *testing.T) {
	state := engine.State{Artifacts: []engine.Artifact{
		{Kind: engine.ArtifactVersion, Name: "v"}, {Kind: engine.ArtifactAdapter, Name: "bridal"},
	}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpjson.WriteJSON(w, http.StatusOK, state)
	}))
	defer server.Close()
	view := &membership.View{Hosts: []platform.Host{
		{Name: "a", Role: platform.RoleSystem, State: platform.HostLive},
		{Name: "e", Role: platform.RoleEngine, State: platform.HostLive, Address: server.URL},
	}}
	d := NewDuty(DutyOptions{Host: "a", View: func() *membership.View { return view }, Engines: server.Client()})
	if got := NewProber(d).probe(context.Background())["e"]; len(got) != 1 || got[0] != "bridal" {
		t.Errorf("adapters %v, want [bridal]", got)
	}
	state.Artifacts = nil
	if got := NewProber(d).probe(context.Background())["e"]; got != nil {
		t.Errorf("engine without artifacts: adapters %v, want nil for unknown", got)
	}
}

func TestRequestOf(t *testing.T) {
	for _, request := range []string{"r1", "job.3", "a.b.c"} {
		if got := RequestOf(TicketID(request, "nonce", "2")); got != request {
			t.Errorf("ticket of request %q: RequestOf returned %q", request, got)
		}
	}
}
