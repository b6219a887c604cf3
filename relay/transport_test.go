package relay

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
)

const testTimeout = 20 * time.Second

// testStore echoes the method, target and body of each call, and counts the calls.
type testStore struct {
	*httptest.Server
	calls atomic.Int64
}

func newTestStore(t *testing.T) *testStore {
	t.Helper()
	s := &testStore{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		body, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/busy":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/throttled":
			w.WriteHeader(http.StatusTooManyRequests)
		case "/cut":
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
	}))
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s
}

func (s *testStore) address() string { return strings.TrimPrefix(s.URL, "http://") }

// testHost is a host that calls the store directly or through others, and relays calls.
type testHost struct {
	transport *Transport
	host      peers.Host
	// cutOff is set while the host's direct calls fail.
	cutOff atomic.Bool
}

// RoundTrip implements http.RoundTripper for the host's direct calls.
func (h *testHost) RoundTrip(r *http.Request) (*http.Response, error) {
	if h.cutOff.Load() {
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}
	return http.DefaultTransport.RoundTrip(r)
}

// newTestHost starts a host with the given peers.
func newTestHost(t *testing.T, name, store string, others ...*testHost) *testHost {
	t.Helper()
	h := &testHost{}
	var known []peers.Host
	for _, o := range others {
		known = append(known, o.host)
	}
	h.transport = New(Options{
		Self: peers.Host{Name: name}, Store: store, Probe: "/probe", Direct: h, Peers: &http.Transport{DisableKeepAlives: true},
		Hosts: func() []peers.Host { return known }, Logger: log.NewNopLogger(),
	})
	mux := http.NewServeMux()
	mux.Handle(Path+"/", httpjson.RequireSecret("token of "+name, NewServer(h.transport)))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	h.host = peers.Host{Name: name, Address: server.URL, Token: "token of " + name}
	return h
}

// call sends a call from a host to the store and returns the status and body of the
// response.
func call(t *testing.T, h *testHost, store *testStore, method, target, body string) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, store.URL+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := h.transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// TestHostReachesTheStoreThroughAnother cuts a host off from the store. The call
// that detects this fails; later calls must be relayed unchanged and exactly once,
// and be direct again after the host is reconnected.
func TestHostReachesTheStoreThroughAnother(t *testing.T) {
	store := newTestStore(t)
	near := newTestHost(t, "near", store.address())
	isolated := newTestHost(t, "cut", store.address(), near)
	isolated.cutOff.Store(true)
	if _, _, err := call(t, isolated, store, http.MethodPost, "/append?x=1", "a"); err == nil || store.calls.Load() != 0 {
		t.Fatalf("error %v, %d calls", err, store.calls.Load())
	}
	status, body, err := call(t, isolated, store, http.MethodPost, "/append?x=%2F2", "content")
	if status != http.StatusOK || body != "POST /append?x=%2F2 content" || err != nil {
		t.Errorf("status %d, body %q, error %v", status, body, err)
	}
	if n := store.calls.Load(); n != 1 {
		t.Errorf("the store got %d calls", n)
	}
	isolated.cutOff.Store(false)
	for deadline := time.Now().Add(testTimeout); isolated.transport.directDown(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("calls did not become direct again after the host was reconnected")
		}
		if _, _, err := call(t, isolated, store, http.MethodGet, "/read", ""); err != nil {
			t.Fatal(err)
		}
	}
}

// TestHostWithoutTheStoreRelaysNothing checks that a relay that is itself cut off
// from the store rejects calls at once, and that it does not pass the call to a third
// host.
func TestHostWithoutTheStoreRelaysNothing(t *testing.T) {
	store := newTestStore(t)
	third := newTestHost(t, "third", store.address())
	second := newTestHost(t, "second", store.address(), third)
	first := newTestHost(t, "first", store.address(), second)
	for _, h := range []*testHost{first, second} {
		h.cutOff.Store(true)
		_, _, _ = call(t, h, store, http.MethodGet, "/read", "")
	}
	status, _, err := call(t, first, store, http.MethodPost, "/append", "a")
	if status != http.StatusServiceUnavailable || err != nil || store.calls.Load() != 0 {
		t.Errorf("status %d, error %v, %d calls", status, err, store.calls.Load())
	}
}

// TestStoreThatTurnsAHostAway checks that status 503 for a read marks the direct
// path as down. For an append it must not, as the store also rejects appends to an
// overloaded partition.
func TestStoreThatTurnsAHostAway(t *testing.T) {
	store := newTestStore(t)
	h := newTestHost(t, "h", store.address())
	if _, _, err := call(t, h, store, http.MethodPost, "/busy", ""); err != nil || h.transport.directDown() {
		t.Errorf("failed append: error %v, direct path down: %t, want false", err, h.transport.directDown())
	}
	if _, _, err := call(t, h, store, http.MethodGet, "/busy", ""); err != nil || !h.transport.directDown() {
		t.Errorf("failed read: error %v, direct path down: %t, want true", err, h.transport.directDown())
	}
}

// TestCallsThatNobodyWaitsFor checks that a call cancelled by its caller does not
// mark the direct path as down, while a call that exceeds its deadline does.
func TestCallsThatNobodyWaitsFor(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	h := newTestHost(t, "h", silent.Addr().String())
	for _, c := range []struct {
		ctx      func() (context.Context, context.CancelFunc)
		wantDown bool
	}{
		{func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(20*time.Millisecond, cancel)
			return ctx, cancel
		}, false},
		{func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 20*time.Millisecond)
		}, true},
	} {
		ctx, cancel := c.ctx()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+silent.Addr().String()+"/read", nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := h.transport.RoundTrip(req); err == nil {
			_ = resp.Body.Close()
			t.Error("got a response from a store that never answers")
		}
		cancel()
		if h.transport.directDown() != c.wantDown {
			t.Errorf("direct path down: %t, want the opposite", h.transport.directDown())
		}
	}
}

// TestRelayedAnswerThatBreaksOff guards against a truncated response of the store
// looking complete after it was relayed.
func TestRelayedAnswerThatBreaksOff(t *testing.T) {
	store := newTestStore(t)
	near := newTestHost(t, "near", store.address())
	isolated := newTestHost(t, "cut", store.address(), near)
	isolated.cutOff.Store(true)
	_, _, _ = call(t, isolated, store, http.MethodGet, "/read", "")
	if _, body, err := call(t, isolated, store, http.MethodGet, "/cut", ""); err == nil {
		t.Errorf("truncated body %q was returned without an error", body)
	}
}

// TestRelayAsksForTheToken checks that a relay rejects calls without its token, and
// that no call is relayed by a host whose token differs from its record.
func TestRelayAsksForTheToken(t *testing.T) {
	store := newTestStore(t)
	near := newTestHost(t, "near", store.address())
	resp, err := http.Get(near.host.Address + Path + "/read")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("status %d", resp.StatusCode)
	}
	near.host.Token = "of another run"
	isolated := newTestHost(t, "cut", store.address(), near)
	isolated.cutOff.Store(true)
	for range 2 {
		if _, _, err := call(t, isolated, store, http.MethodGet, "/read", ""); err == nil {
			t.Error("a call without the right token was relayed")
		}
	}
	if n := store.calls.Load(); n != 0 {
		t.Errorf("the store got %d calls", n)
	}
}

// TestThrottledForAll checks that if the store throttles the relaying host too, the
// caller gets the store's response and another relay is selected for the next call.
func TestThrottledForAll(t *testing.T) {
	store := newTestStore(t)
	near := newTestHost(t, "near", store.address())
	h := newTestHost(t, "h", store.address(), near)
	h.cutOff.Store(true)
	h.transport.selector.directDown = true
	if status, _, err := call(t, h, store, http.MethodGet, "/throttled", ""); status != http.StatusTooManyRequests || err != nil {
		t.Errorf("status %d, error %v", status, err)
	}
	if h.transport.selector.relay != "" || h.transport.selector.failures == 0 {
		t.Errorf("relay is still %q, %d failures counted", h.transport.selector.relay, h.transport.selector.failures)
	}
}

// TestRelayedAnswersHoldNoKeys relays reads of the operator's topic. Other answers of the store pass
// unchanged.
func TestRelayedAnswersHoldNoKeys(t *testing.T) {
	const configuration = `{"version":3,"tenants":[{"name":"a","api_keys":["planted-key"]}]}`
	store := standin.NewStore(standin.StoreFaults{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	store.Put(platform.TopicOperator.Name, platform.KeyConfiguration, []byte(configuration))
	store.Put(platform.TopicEndpoints.Name, "e", []byte(configuration))
	near := newTestHost(t, "near", server.Listener.Addr().String())
	cut := newTestHost(t, "cut", server.Listener.Addr().String(), near)
	cut.cutOff.Store(true)
	cut.transport.selector.directDown = true
	var bodies bytes.Buffer
	client := platform.NewStore(server.Listener.Addr().String(), platform.StoreOptions{Transport: &recordingTransport{next: cut.transport, bodies: &bodies}})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	page, err := client.Read(ctx, platform.TopicOperator, 0, 100, 0)
	if err != nil || len(page.Records) != 1 {
		t.Fatalf("page %+v, error %v", page, err)
	}
	record, err := platform.DecodeKeyed(page.Records[0])
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := client.Newest(ctx, platform.TopicOperator, "")
	if err != nil || len(snapshot.Records) != 1 {
		t.Fatalf("snapshot %+v, error %v", snapshot, err)
	}
	for _, value := range [][]byte{record.Value, snapshot.Records[0].Value} {
		c, err := platform.DecodeConfiguration(value)
		if err != nil || c.Version != 3 || c.WorkspaceByKey(route.HashKey("planted-key")) == nil {
			t.Errorf("configuration %+v, error %v", c, err)
		}
	}
	for _, text := range []string{"planted-key", base64.StdEncoding.EncodeToString([]byte(configuration))} {
		if strings.Contains(bodies.String(), text) {
			t.Errorf("the relayed answers hold %q", text)
		}
	}
	if r, err := client.Newest(ctx, platform.TopicEndpoints, ""); err != nil || string(r.Records[0].Value) != configuration {
		t.Errorf("another topic: %+v, error %v", r, err)
	}
	if _, err := client.Read(ctx, platform.TopicOperator, 99, 100, 0); err != nil {
		t.Errorf("read of nothing: %v", err)
	}
}

// recordingTransport keeps the bodies of all responses.
type recordingTransport struct {
	next   http.RoundTripper
	bodies *bytes.Buffer
}

func (r *recordingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := r.next.RoundTrip(req)
	if err == nil {
		resp.Body = struct {
			io.Reader
			io.Closer
		}{io.TeeReader(resp.Body, r.bodies), resp.Body}
	}
	return resp, err
}

// TestUnreadableAnswersAreNotRelayed guards against keys in an answer that can't be redacted.
func TestUnreadableAnswersAreNotRelayed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "planted-key") }))
	t.Cleanup(server.Close)
	near := newTestHost(t, "near", server.Listener.Addr().String())
	for _, path := range []string{"/log-read", "/log-newest", "/log-other"} {
		w := httptest.NewRecorder()
		NewServer(near.transport).ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+path+"?topic=keyed.op&part=0", http.NoBody))
		if w.Code == http.StatusOK || strings.Contains(w.Body.String(), "planted") || w.Header().Get(outcomeHeader) == "" {
			t.Errorf("%s: status %d, %q", path, w.Code, w.Body)
		}
	}
}
