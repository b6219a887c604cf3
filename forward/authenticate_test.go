package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/startup"
)

var errStoreAway = errors.New("the store is away")

// keyedConfiguration is a Configuration that a host has read, and that the store has.
type keyedConfiguration struct {
	mu sync.Mutex
	// known is the host's, stored the store's.
	known, stored *route.Configuration
	confirmedAt   time.Time
	away          bool
	// reads are the times of the confirming reads.
	reads []time.Time
}

func (c *keyedConfiguration) Current() *route.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

func (c *keyedConfiguration) Confirm(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads = append(c.reads, clock.Now())
	if c.away {
		return errStoreAway
	}
	c.known, c.confirmedAt = c.stored, clock.Now()
	return nil
}

func (c *keyedConfiguration) Confirmed() (sent time.Time, reachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt, !c.away
}

func (c *keyedConfiguration) countReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reads)
}

// workspaces returns a configuration whose workspaces have one key each, "key of " and the name.
func workspaces(version int64, names ...string) *route.Configuration {
	backends := []route.Backend{{Service: "s", Weight: 1}}
	c := &route.Configuration{Version: version, Workspaces: []route.Workspace{}, Routes: []route.Route{
		{Name: "r", Host: "h.example", Prefix: "/p/", Kind: route.Idempotent, MaxAttempts: 2, Timeout: testTimeout, Backends: backends, Priority: 3},
		{Name: "public", Host: "h.example", Prefix: "/public/", Kind: route.Idempotent, MaxAttempts: 2, Timeout: testTimeout, Backends: backends, Public: true},
		{Name: "lots", Host: "h.example", Prefix: "/lots-in/", Kind: route.Batch, Backends: backends},
		{Name: "public lots", Host: "h.example", Prefix: "/public-lots/", Kind: route.Batch, Backends: backends, Public: true},
	}}
	for _, name := range names {
		c.Workspaces = append(c.Workspaces, route.Workspace{Name: name, Keys: []route.KeyHash{route.HashKey("key of " + name), route.HashKey(keyOf(name))}})
	}
	c.Index()
	return c
}

func keyOf(workspace string) string { return "key-of-" + workspace }

// keyedbed is a Forwarder with a keyedConfiguration, and a replica that it sends requests to.
type keyedbed struct {
	*testbed
	keys *keyedConfiguration
	// callers are those of the calls of batch jobs.
	callers []route.Caller
}

func newKeyedbed(t *testing.T, known, stored *route.Configuration, options ...func(*Options)) *keyedbed {
	t.Helper()
	b := &keyedbed{testbed: newTestbed(t, route.Route{Kind: route.Idempotent, MaxAttempts: 2}, 1, 0)}
	b.ignoreReleases()
	b.keys = &keyedConfiguration{known: known, stored: stored, confirmedAt: clock.Now()}
	o := b.forwarder.opts
	o.Configuration, o.Registerer = b.keys, prometheus.NewRegistry()
	o.Jobs = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.callers = append(b.callers, route.CallerOf(r.Context()))
		w.WriteHeader(http.StatusAccepted)
	})
	o.IsPublicJob = func(_ context.Context, id string) (bool, error) {
		if id == "unread" {
			return false, errStoreAway
		}
		return id == "public", nil
	}
	for _, set := range options {
		set(&o)
	}
	b.forwarder = New(o)
	b.server.Config.Handler = b.forwarder
	return b
}

// call sends a request with the given values of X-Credential and returns its id and the response.
func (b *keyedbed) call(method, path, body string, keys ...string) (string, *http.Response) {
	b.t.Helper()
	b.seq++
	id := fmt.Sprintf("q%d", b.seq)
	req, err := http.NewRequest(method, b.server.URL+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Tenant", "made up")
	req.Header["X-Credential"] = keys
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	_ = resp.Body.Close()
	return id, resp
}

// TestKeysOfRequests sends requests with keys of all kinds.
func TestKeysOfRequests(t *testing.T) {
	c := workspaces(1, "a", "b")
	b := newKeyedbed(t, c, c)
	for _, x := range []struct {
		name, path string
		keys       []string
		status     int
		workspace  string
		fault      string
	}{
		{"valid", "/p/", []string{keyOf("a")}, http.StatusOK, "a", ""},
		{"other workspace", "/p/", []string{keyOf("b")}, http.StatusOK, "b", ""},
		{"white space around", "/p/", []string{" " + keyOf("b") + " "}, http.StatusOK, "b", ""},
		{"missing", "/p/", nil, http.StatusUnauthorized, "", "missing"},
		{"empty", "/p/", []string{""}, http.StatusUnauthorized, "", "empty"},
		{"repeated", "/p/", []string{keyOf("a"), keyOf("a")}, http.StatusUnauthorized, "", "repeated"},
		{"list", "/p/", []string{keyOf("a") + "," + keyOf("a")}, http.StatusUnauthorized, "", "unknown"},
		{"scheme", "/p/", []string{"Bearer " + keyOf("a")}, http.StatusUnauthorized, "", "malformed"},
		{"not a header for spaces", "/p/", []string{"key of a"}, http.StatusUnauthorized, "", "malformed"},
		{"other case", "/p/", []string{strings.ToUpper(keyOf("a"))}, http.StatusUnauthorized, "", "unknown"},
		{"oversized", "/p/", []string{strings.Repeat("k", 5000)}, http.StatusUnauthorized, "", "oversized"},
		{"unknown", "/p/", []string{"k"}, http.StatusUnauthorized, "", "unknown"},
		{"public route", "/public/", nil, http.StatusOK, "", ""},
		{"public route, unknown key", "/public/", []string{"k"}, http.StatusOK, "", ""},
		{"public route, valid key", "/public/", []string{keyOf("a")}, http.StatusOK, "", ""},
		{"no route", "/none/", nil, http.StatusNotFound, "", ""},
	} {
		before := 0.0
		if x.fault != "" {
			before = testutil.ToFloat64(b.forwarder.metrics.unauthorized.WithLabelValues(x.fault))
		}
		id, resp := b.call(http.MethodPost, x.path, "body", x.keys...)
		if resp.StatusCode != x.status {
			t.Errorf("%s: status %d, want %d", x.name, resp.StatusCode, x.status)
		}
		runs := b.runs(id)
		if (x.status == http.StatusOK) != (len(runs) == 1) {
			t.Errorf("%s: %d runs", x.name, len(runs))
		}
		for _, run := range runs {
			if tenant := strings.Join(run.Header.Values("X-Tenant"), ","); tenant != x.workspace || run.Header.Values("X-Credential") != nil {
				t.Errorf("%s: the endpoint gets %v", x.name, run.Header)
			}
		}
		if x.fault != "" && testutil.ToFloat64(b.forwarder.metrics.unauthorized.WithLabelValues(x.fault)) != before+1 {
			t.Errorf("%s is not counted", x.name)
		}
	}
	b.server.Close()
	log := b.logLines.String()
	for _, secret := range []string{keyOf("a"), keyOf("b"), strings.Repeat("k", 5000)} {
		if strings.Contains(log, secret) {
			t.Errorf("the log holds the key %.20q", secret)
		}
	}
	for _, line := range []string{`"workspace":"a"`, `"inputs":"the key is missing"`, `"inputs":"the key is unknown"`} {
		if !strings.Contains(log, line) {
			t.Errorf("the log lacks %s", line)
		}
	}
}

// TestNoWorkspacesLeaveHeadersAlone guards against a change for deployments without workspaces.
func TestNoWorkspacesLeaveHeadersAlone(t *testing.T) {
	c := workspaces(1)
	c.Workspaces = nil
	b := newKeyedbed(t, c, c, func(o *Options) { o.Revocation = time.Millisecond })
	b.keys.away, b.keys.confirmedAt = true, time.Time{}
	id, resp := b.call(http.MethodPost, "/p/", "", "k", "k")
	runs := b.runs(id)
	if resp.StatusCode != http.StatusOK || len(runs) != 1 {
		t.Fatalf("status %d, %d runs", resp.StatusCode, len(runs))
	}
	if h := runs[0].Header; h.Get("X-Tenant") != "made up" || len(h.Values("X-Credential")) != 2 {
		t.Errorf("the endpoint gets %v", h)
	}
}

// TestNoKeyIsValidWithoutWorkspaces sends a key where the list of workspaces is empty.
func TestNoKeyIsValidWithoutWorkspaces(t *testing.T) {
	c := workspaces(1)
	b := newKeyedbed(t, c, c)
	if _, resp := b.call(http.MethodPost, "/p/", "", "k"); resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("status %d, want 401", resp.StatusCode)
	}
}

// TestAddedKeyIsConfirmed sends a key that the host has not read yet, with the store and without.
func TestAddedKeyIsConfirmed(t *testing.T) {
	b := newKeyedbed(t, workspaces(1, "a"), workspaces(2, "a", "b"))
	b.keys.away = true
	if _, resp := b.call(http.MethodPost, "/p/", "", keyOf("b")); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("without the store: status %d, Retry-After %q, want 503", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if _, resp := b.call(http.MethodPost, "/p/", "", keyOf("a")); resp.StatusCode != http.StatusOK {
		t.Errorf("known key without the store: status %d", resp.StatusCode)
	}
	if _, resp := b.call(http.MethodPost, "/p/", ""); resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("no key, without the store: status %d", resp.StatusCode)
	}
	b.keys.mu.Lock()
	b.keys.away = false
	b.keys.mu.Unlock()
	if id, resp := b.call(http.MethodPost, "/p/", "", keyOf("b")); resp.StatusCode != http.StatusOK || b.runs(id)[0].Header.Get("X-Tenant") != "b" {
		t.Errorf("with the store: status %d", resp.StatusCode)
	}
}

// TestRouteMadePublicNeedsNoKey sends an unknown key to a route that the newest configuration made public. It
// guards against a 401 that this configuration does not give.
func TestRouteMadePublicNeedsNoKey(t *testing.T) {
	newest := workspaces(2, "a")
	newest.Routes[0].Public = true
	b := newKeyedbed(t, workspaces(1, "a"), newest)
	id, resp := b.call(http.MethodPost, "/p/", "", "unknown")
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if h := b.runs(id)[0].Header; h.Get("X-Tenant") != "" || h.Get("X-Credential") != "" {
		t.Errorf("the endpoint got %v", h)
	}
}

// TestUnknownKeysShareReads sends many unknown keys: however many there are, the host reads
// the configuration once per confirmInterval, and each gets the answer of a read that began after it
// arrived.
func TestUnknownKeysShareReads(t *testing.T) {
	c := workspaces(1, "a")
	b := newKeyedbed(t, c, c)
	began := time.Now()
	var calls sync.WaitGroup
	for i := range 100 {
		calls.Add(1)
		time.Sleep(5 * time.Millisecond)
		go func() {
			defer calls.Done()
			read := clock.Now()
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, "http://h.example/p/", http.NoBody)
			r.Header.Set("X-Credential", fmt.Sprintf("unknown-%d", i))
			b.forwarder.ServeHTTP(w, r)
			b.keys.mu.Lock()
			defer b.keys.mu.Unlock()
			if w.Code != http.StatusUnauthorized || b.keys.reads[len(b.keys.reads)-1].Before(read) {
				t.Errorf("status %d without a read after the request", w.Code)
			}
		}()
	}
	calls.Wait()
	b.keys.mu.Lock()
	defer b.keys.mu.Unlock()
	for i := 1; i < len(b.keys.reads); i++ {
		if gap := b.keys.reads[i].Sub(b.keys.reads[i-1]); gap < confirmInterval {
			t.Errorf("read %d follows after %s", i, gap)
		}
	}
	if longest := int(time.Since(began)/confirmInterval) + 1; len(b.keys.reads) > longest {
		t.Errorf("%d reads, want at most %d", len(b.keys.reads), longest)
	}
}

// TestRevocation takes a key away while a host is cut off from the store, and after it started in
// an outage.
func TestRevocation(t *testing.T) {
	const bound = time.Minute
	withBound := func(o *Options) { o.Revocation = bound }
	for _, x := range []struct {
		name         string
		age          time.Duration
		none, away   bool
		status       int
		publicStatus int
	}{
		{"confirmed a moment ago", 0, false, true, http.StatusOK, http.StatusOK},
		{"within the bound", bound - 10*time.Second, false, true, http.StatusOK, http.StatusOK},
		{"beyond the bound, cut off", bound, false, true, http.StatusServiceUnavailable, http.StatusOK},
		{"beyond the bound, store reachable", 2 * bound, false, false, http.StatusUnauthorized, http.StatusOK},
		{"nothing confirmed, cut off", 0, true, true, http.StatusServiceUnavailable, http.StatusOK},
	} {
		// The store has a configuration without the key.
		b := newKeyedbed(t, workspaces(1, "a"), workspaces(2), withBound)
		b.keys.away, b.keys.confirmedAt = x.away, clock.Now().Add(-x.age)
		if x.none {
			b.keys.confirmedAt = time.Time{}
		}
		_, resp := b.call(http.MethodPost, "/p/", strings.Repeat("b", 100<<10), keyOf("a"))
		if resp.StatusCode != x.status || (x.status == http.StatusServiceUnavailable) != (resp.Header.Get("Retry-After") != "") {
			t.Errorf("%s: status %d, Retry-After %q, want %d", x.name, resp.StatusCode, resp.Header.Get("Retry-After"), x.status)
		}
		if _, resp := b.call(http.MethodPost, "/public/", "", keyOf("a")); resp.StatusCode != x.publicStatus {
			t.Errorf("%s: status %d on a public route", x.name, resp.StatusCode)
		}
		if _, resp := b.call(http.MethodGet, "/lots/j", "", keyOf("a")); (resp.StatusCode == http.StatusAccepted) != (x.status == http.StatusOK) {
			t.Errorf("%s: status %d of a call on a job", x.name, resp.StatusCode)
		}
	}
}

// TestTooOldConfigurationIsConfirmedOnce sends many requests at a host that was suspended: they share
// one read and are admitted.
func TestTooOldConfigurationIsConfirmedOnce(t *testing.T) {
	c := workspaces(1, "a")
	b := newKeyedbed(t, c, c, func(o *Options) { o.Revocation = time.Minute })
	b.keys.confirmedAt = clock.Now().Add(-time.Hour)
	var calls sync.WaitGroup
	for range 50 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, "http://h.example/lots-in/x", http.NoBody)
			r.Header.Set("X-Credential", keyOf("a"))
			if b.forwarder.authenticate(context.Background(), w, &request{http: r, route: c.Route("r"), started: time.Now(), read: clock.Now()}); w.Code != http.StatusOK {
				t.Errorf("status %d", w.Code)
			}
		}()
	}
	calls.Wait()
	if n := b.keys.countReads(); n != 1 {
		t.Errorf("%d reads, want 1", n)
	}
}

// TestRetriesKeepTheirWorkspace guards against a retry without the workspace, or one that looks the key
// up again: it was taken away after the first attempt.
func TestRetriesKeepTheirWorkspace(t *testing.T) {
	c := workspaces(1, "a")
	priority := 1
	c.Workspaces[0].Priority = &priority
	b := newKeyedbed(t, c, c)
	second, err := standin.StartReplica("second", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	e := *b.placer.endpoints[0]
	e.ID, e.Address = "second", second.Address()
	b.placer.endpoints = append(b.placer.endpoints, &e)
	b.replicas[0].SetFaults(standin.ReplicaFaults{ResetBefore: true})
	b.keys.stored = workspaces(2)
	id, resp := b.call(http.MethodPost, "/p/", "", keyOf("a"))
	runs := second.Runs()
	if resp.StatusCode != http.StatusOK || len(runs) != 1 || runs[0].Request != id || runs[0].Header.Get("X-Tenant") != "a" || runs[0].Header.Values("X-Credential") != nil {
		t.Errorf("status %d, runs %+v", resp.StatusCode, runs)
	}
	for _, ask := range b.placer.requests {
		if ask.Workspace != &c.Workspaces[0] || ask.ConfigVersion != 1 || ask.Priority() != 1 {
			t.Errorf("placement for %+v of configuration %d, priority %d", ask.Workspace, ask.ConfigVersion, ask.Priority())
		}
	}
	if (&PlacementRequest{Route: c.Route("r"), Workspace: &route.Workspace{}}).Priority() != 3 || (&PlacementRequest{Route: c.Route("r")}).Priority() != 3 {
		t.Error("a workspace without a priority changes that of the route")
	}
}

// TestKeysOfJobCalls calls on batch jobs.
func TestKeysOfJobCalls(t *testing.T) {
	c := workspaces(1, "a")
	for _, x := range []struct {
		name, method, path, key string
		status                  int
		caller                  route.Caller
	}{
		{"submission", http.MethodPost, "/lots-in/", keyOf("a"), http.StatusAccepted, route.Caller{Checked: true, Workspace: "a"}},
		{"submission without a key", http.MethodPost, "/lots-in/", "", http.StatusUnauthorized, route.Caller{}},
		{"submission to a public route", http.MethodPost, "/public-lots/", keyOf("a"), http.StatusAccepted, route.Caller{Checked: true}},
		{"read", http.MethodGet, "/lots/j?after=0", keyOf("a"), http.StatusAccepted, route.Caller{Checked: true, Workspace: "a"}},
		{"read without a key", http.MethodGet, "/lots/j?after=0", "", http.StatusUnauthorized, route.Caller{}},
		{"read with an unknown key", http.MethodGet, "/lots/j?after=0", "k", http.StatusUnauthorized, route.Caller{}},
		{"item without a key", http.MethodGet, "/items/j?id=i", "", http.StatusUnauthorized, route.Caller{}},
		{"end without a key", http.MethodDelete, "/lots/j", "", http.StatusUnauthorized, route.Caller{}},
		{"public job", http.MethodGet, "/lots/public?after=0", "", http.StatusAccepted, route.Caller{Checked: true}},
		{"public job, unknown key", http.MethodDelete, "/lots/public", "k", http.StatusAccepted, route.Caller{Checked: true}},
		{"ledger not read", http.MethodGet, "/lots/unread", "", http.StatusServiceUnavailable, route.Caller{}},
		{"repeated, key of the workspace", http.MethodPost, "/gone/", keyOf("a"), http.StatusAccepted, route.Caller{Checked: true, Workspace: "a"}},
		{"repeated, without a key", http.MethodPost, "/gone/", "", http.StatusNotFound, route.Caller{}},
	} {
		b := newKeyedbed(t, c, c, func(o *Options) {
			o.MayRepeatJob = func(string, string) bool { return true }
			o.RepeatsJob = func(_, _, path string, caller route.Caller) bool { return path == "/gone/" && caller.Workspace == "a" }
		})
		var keys []string
		if x.key != "" {
			keys = []string{x.key}
		}
		if _, resp := b.call(x.method, x.path, "", keys...); resp.StatusCode != x.status {
			t.Errorf("%s: status %d, want %d", x.name, resp.StatusCode, x.status)
		}
		if served := x.status == http.StatusAccepted; served != (len(b.callers) == 1) || served && b.callers[0] != x.caller {
			t.Errorf("%s: callers %+v, want %+v", x.name, b.callers, x.caller)
		}
	}
}

// BenchmarkAuthentication measures what the key of a request costs.
func BenchmarkAuthentication(b *testing.B) {
	c := workspaces(1, "a")
	for i := range 16000 {
		c.Workspaces = append(c.Workspaces, route.Workspace{Name: fmt.Sprint(i), Keys: []route.KeyHash{route.HashKey(fmt.Sprint(i))}})
	}
	c.Index()
	started := startup.NewGate()
	started.Open()
	f := New(Options{
		Configuration: &keyedConfiguration{known: c, stored: c, confirmedAt: clock.Now()}, Started: started,
		Revocation: time.Hour, Logger: log.NewNopLogger(),
	})
	r := httptest.NewRequest(http.MethodPost, "http://h.example/p/", http.NoBody)
	r.Header.Set("X-Credential", "9000")
	req := &request{http: r, route: c.Route("r"), read: clock.Now()}
	w := httptest.NewRecorder()
	b.ReportAllocs()
	for b.Loop() {
		if !f.authenticate(context.Background(), w, req) {
			b.Fatal(w.Code)
		}
	}
}

// TestEachAttemptIsInTheNameOfItsWorkspace resumes a stream at a second endpoint, and hedges a request:
// both endpoints get the workspace and no key.
func TestEachAttemptIsInTheNameOfItsWorkspace(t *testing.T) {
	hedged := idempotent
	hedged.Objective = 100 * time.Millisecond
	for name, x := range map[string]struct {
		route  route.Route
		events int
		faults standin.ReplicaFaults
	}{
		"resumed stream": {resumable, 9, standin.ReplicaFaults{CutAfter: 3}},
		"hedge":          {hedged, 0, standin.ReplicaFaults{Silent: true}},
	} {
		b := newTestbed(t, x.route, 2, x.events)
		b.config.current.Workspaces = []route.Workspace{{Name: "a", Keys: []route.KeyHash{route.HashKey(keyOf("a"))}}}
		b.config.current.Index()
		b.forwarder.hedges.tokens = hedgeBurst
		b.replicas[0].SetFaults(x.faults)
		id, a := b.send(context.Background(), "", map[string]string{"X-Credential": keyOf("a"), "X-Tenant": "made up"})
		runs := b.runs(id)
		if a.status != http.StatusOK || len(runs) != 2 {
			t.Fatalf("%s: response %+v, %d runs", name, a, len(runs))
		}
		for _, run := range runs {
			if strings.Join(run.Header.Values("X-Tenant"), ",") != "a" || run.Header.Values("X-Credential") != nil {
				t.Errorf("%s: an endpoint gets %v", name, run.Header)
			}
		}
	}
}
