package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/startup"
)

// newJobForwarder returns a Forwarder whose configuration has no route, and whose API of batch
// jobs responds with 202 to each call and knows the job "j".
func newJobForwarder() *Forwarder {
	config := &route.Configuration{Version: 2}
	config.Index()
	started := startup.NewGate()
	started.Open()
	return New(Options{
		Configuration: &testConfiguration{current: config}, Started: started, Shutdown: func() *Shutdown { return nil },
		Jobs:         http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) }),
		MayRepeatJob: func(id, path string) bool { return id == "j" && path == "/lots-in/j" },
		RepeatsJob: func(id, host, path string, _ route.Caller) bool {
			return id == "j" && host == "h.example" && path == "/lots-in/j"
		},
		Logger: log.NewNopLogger(),
	})
}

// TestJobsOutlastTheirRoutes calls on batch jobs after the last route of their host was dropped:
// they still exist, which only their ledger can deny. A job that is handed in again was accepted.
func TestJobsOutlastTheirRoutes(t *testing.T) {
	f := newJobForwarder()
	for _, c := range []struct {
		method, target, id string
		status             int
	}{
		{http.MethodGet, "http://h.example/lots/j", "", http.StatusAccepted},
		{http.MethodGet, "http://h.example/lots/j?after=3", "", http.StatusAccepted},
		{http.MethodGet, "http://h.example/items/j?id=i", "", http.StatusAccepted},
		{http.MethodDelete, "http://h.example/lots/j", "", http.StatusAccepted},
		{http.MethodPost, "http://h.example/lots-in/j", "j", http.StatusAccepted},
		{http.MethodPost, "http://h.example/lots-in/k", "k", http.StatusNotFound},
		{http.MethodPost, "http://other.example/lots-in/j", "j", http.StatusNotFound},
		{http.MethodGet, "http://h.example/lots-in/j", "j", http.StatusNotFound},
		{http.MethodPost, "http://h.example/lots/j", "", http.StatusNotFound},
		{http.MethodGet, "http://h.example/items/j", "", http.StatusNotFound},
	} {
		r := httptest.NewRequest(c.method, c.target, http.NoBody)
		r.Header.Set("X-Request-Id", c.id)
		w := httptest.NewRecorder()
		f.ServeHTTP(w, r)
		if w.Code != c.status {
			t.Errorf("%s %s: status %d, want %d", c.method, c.target, w.Code, c.status)
		}
	}
}

// TestJobCallsEndWithAnAnswer ends the requests of a host that shuts down while the API of batch
// jobs waits for the store: its caller gets an answer, as callers of routes do.
func TestJobCallsEndWithAnAnswer(t *testing.T) {
	f := newJobForwarder()
	waiting := make(chan struct{})
	f.opts.Jobs = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(waiting)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusServiceUnavailable)
		case <-time.After(testTimeout):
		}
	})
	go func() {
		<-waiting
		f.EndRequests()
	}()
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h.example/lots/j", http.NoBody))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, want the call to end with the host's requests", w.Code)
	}
}

// TestRepeatedJobGoesBeforeRoutes guards against a repeat of an accepted job that is served as a request of the
// route that its path selects by now: sent to an endpoint, refused for want of a key, or accepted again in the name of
// nobody.
func TestRepeatedJobGoesBeforeRoutes(t *testing.T) {
	backends := []route.Backend{{Service: "s", Weight: 1}}
	for _, selected := range []route.Route{
		{Name: "plain", Kind: route.Idempotent}, {Name: "once", Kind: route.AtMostOnce}, {Name: "stream", Kind: route.Streaming},
		{Name: "public", Kind: route.Batch, Public: true}, {Name: "keyed", Kind: route.Batch}, {Name: "public plain", Kind: route.Idempotent, Public: true},
	} {
		config := workspaces(1, "a", "b")
		selected.Host, selected.Prefix, selected.Backends, selected.MaxAttempts, selected.Timeout = "h.example", "/in/j/", backends, 2, testTimeout
		config.Routes = append(config.Routes, selected)
		config.Index()
		for _, x := range []struct {
			name, id, path, key string
			away                bool
			// owner is the workspace of the job "j" at /in/j/1; "" is a job of a public route.
			owner  string
			repeat bool
			status int
		}{
			{"own key", "j", "/in/j/1", keyOf("a"), false, "a", true, http.StatusAccepted},
			{"own key at a host whose configuration is too old", "j", "/in/j/1", keyOf("a"), true, "a", false, http.StatusServiceUnavailable},
			{"public job", "j", "/in/j/1", "", false, "", true, http.StatusAccepted},
			{"public job with a key that it needs not", "j", "/in/j/1", keyOf("b"), false, "", true, http.StatusAccepted},
			{"public job at a host whose configuration is too old", "j", "/in/j/1", keyOf("a"), true, "", true, http.StatusAccepted},
			{"another key", "j", "/in/j/1", keyOf("b"), false, "a", false, 0},
			{"another path", "j", "/in/j/2", keyOf("a"), false, "a", false, 0},
			{"another id", "k", "/in/j/1", keyOf("a"), false, "a", false, 0},
		} {
			repeats := 0
			b := newKeyedbed(t, config, config, func(o *Options) {
				o.MayRepeatJob = func(id, path string) bool { return id == "j" && path == "/in/j/1" }
				o.RepeatsJob = func(_, _, _ string, caller route.Caller) bool {
					if caller.Workspace == x.owner {
						repeats++
						return true
					}
					return false
				}
				if x.away {
					o.Revocation = time.Second
				}
			})
			if x.away {
				b.keys.confirmedAt, b.keys.away = time.Time{}, true
			}
			r := httptest.NewRequest(http.MethodPost, "http://h.example"+x.path, http.NoBody)
			r.Header.Set("X-Request-Id", x.id)
			if x.key != "" {
				r.Header.Set("X-Credential", x.key)
			}
			w := httptest.NewRecorder()
			b.forwarder.ServeHTTP(w, r)
			if x.status != 0 && w.Code != x.status {
				t.Errorf("%s, path selects %s: status %d, want %d", x.name, selected.Name, w.Code, x.status)
			}
			want := route.Caller{Checked: true, Workspace: x.owner}
			if x.repeat && (len(b.callers) != 1 || b.callers[0] != want) || !x.repeat && repeats > 0 {
				t.Errorf("%s, path selects %s: callers of jobs %+v, want repeat %t", x.name, selected.Name, b.callers, x.repeat)
			}
			if runs := len(b.replicas[0].Runs()); x.status != 0 && runs > 0 {
				t.Errorf("%s, path selects %s: %d runs at an endpoint", x.name, selected.Name, runs)
			}
		}
	}
}
