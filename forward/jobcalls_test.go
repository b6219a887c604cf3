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
		Jobs: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) }),
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
