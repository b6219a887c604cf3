package endpointlimit

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/throttle"
)

// limitedEndpoint is an endpoint that names a limit in its answers.
type limitedEndpoint struct {
	*httptest.Server
	mu    sync.Mutex
	limit string
	at    []time.Time
}

func newLimitedEndpoint(t *testing.T, limit string) *limitedEndpoint {
	t.Helper()
	e := &limitedEndpoint{limit: limit}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.at = append(e.at, time.Now())
		if e.limit != "" {
			w.Header().Set("Server-Limit", e.limit)
		}
		_, _ = fmt.Fprintln(w, r.Method)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *limitedEndpoint) set(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

func (e *limitedEndpoint) got() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.at)
}

// testHost is a host of these tests.
type testHost struct {
	*Limiter
	store  *gossip.Store
	client *http.Client
}

func newTestHosts(e *limitedEndpoint, names ...string) []*testHost {
	view := &membership.View{Hosts: []platform.Host{{Name: "e", Role: platform.RoleEngine, Address: e.URL, Incarnation: 1}}}
	var out []*testHost
	for _, name := range names {
		store := gossip.NewStore(gossip.Options{Host: name})
		l := New(Options{
			Host: name, Store: store, Hosts: func() []string { return names },
			View: func() *membership.View { return view }, Logger: log.NewNopLogger(),
		})
		out = append(out, &testHost{Limiter: l, store: store, client: &http.Client{Transport: l.Transport(http.DefaultTransport)}})
	}
	return out
}

// send sends a call and returns the status of its response.
func (h *testHost) send(t *testing.T, e *limitedEndpoint, method string) int {
	t.Helper()
	r, err := http.NewRequest(method, e.URL+"/streams", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := h.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// exchangeAll exchanges the limits of all hosts.
func exchangeAll(hosts []*testHost) {
	for _, h := range hosts {
		h.exchange()
	}
	for _, from := range hosts {
		for _, to := range hosts {
			for _, e := range from.store.All(KindLimits) {
				if from != to {
					to.store.Merge(e)
				}
			}
		}
	}
	for _, h := range hosts {
		h.exchange()
	}
}

// TestHostsKeepAnEndpointsLimit has one of three hosts hear of a limit: all keep to it together,
// whatever they call, and go on once the endpoint names none.
func TestHostsKeepAnEndpointsLimit(t *testing.T) {
	const perSecond, seconds = 5.0, 4
	e := newLimitedEndpoint(t, fmt.Sprint(perSecond))
	hosts := newTestHosts(e, "a", "b", "c")
	hosts[0].send(t, e, http.MethodPost)
	exchangeAll(hosts)
	before, refused := e.got(), 0
	for begin := time.Now(); time.Since(begin) < seconds*time.Second; time.Sleep(5 * time.Millisecond) {
		for _, h := range hosts {
			if h.send(t, e, http.MethodPost) == http.StatusServiceUnavailable {
				refused++
			}
		}
	}
	if got, allowed := e.got()-before, int(1.5*perSecond*seconds)+5; got > allowed || got == 0 || refused == 0 {
		t.Errorf("%d calls in %d s, allowed %d; %d were kept back", got, seconds, allowed, refused)
	}
	if status := hosts[0].send(t, e, http.MethodDelete); status != http.StatusOK {
		t.Errorf("a call that ends a stream was kept back: status %d", status)
	}
	e.set("")
	for deadline := time.Now().Add(20 * time.Second); slices.ContainsFunc(hosts, func(h *testHost) bool { return !h.Admits("e") }); time.Sleep(10 * time.Millisecond) {
		hosts[1].send(t, e, http.MethodPost)
		exchangeAll(hosts)
		if time.Now().After(deadline) {
			t.Fatal("the limit has not ended at all hosts")
		}
	}
}

// TestEndedLimitIsNotBroughtBack exchanges an entry of a host that has not heard of the end.
func TestEndedLimitIsNotBroughtBack(t *testing.T) {
	e := newLimitedEndpoint(t, "2")
	hosts := newTestHosts(e, "a", "b")
	hosts[0].send(t, e, http.MethodPost)
	exchangeAll(hosts)
	h, _ := hosts[1].opts.View().ByName("e")
	hosts[1].answered(&h, clock.Now().Add(time.Second), http.Header{})
	for range 3 {
		hosts[1].exchange()
		if limit := hosts[1].table.Rate(incarnation(&h)); limit != 0 {
			t.Fatalf("the limit is %g again", limit)
		}
	}
}

// TestLimitOfTheRunInTheView has a host be told late of the limit of a run before, which by its clock
// started later than the run in the view: the present run's limit holds.
func TestLimitOfTheRunInTheView(t *testing.T) {
	e := newLimitedEndpoint(t, "2")
	host := newTestHosts(e, "a")[0]
	host.send(t, e, http.MethodPost)
	former := endpoint.Incarnation{ID: "e", Started: time.UnixMilli(2).UTC()}
	data, err := json.Marshal([]throttle.Notice{{Endpoint: former, Rate: 1000}})
	if err != nil {
		t.Fatal(err)
	}
	host.store.Merge(gossip.Entry{
		Kind: KindLimits, Key: "endpoints", Origin: "b", Scope: gossip.ScopeGlobal, Version: gossip.Version{Incarnation: 1, Counter: 1}, Data: data,
	})
	host.exchange()
	refused := 0
	for range 50 {
		if host.send(t, e, http.MethodPost) == http.StatusServiceUnavailable {
			refused++
		}
	}
	if refused == 0 {
		t.Error("the limit of the present run is forgotten")
	}
}
