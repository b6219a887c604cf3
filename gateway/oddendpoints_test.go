package gateway

import (
	"bytes"
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// lockedBuffer is a buffer that is read while it is written to.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

// endpointRecord returns an endpoint's record with these JSON values.
func endpointRecord(address, slots string) []byte {
	return []byte(`{"service":"s","address":` + address + `,"zone":"z","version":"v","slots":` + slots + `,"state":"ready","cold_left_ms":0,"seq":1,"born":7}`)
}

// TestOddEntriesAmongEndpoints has another writer leave odd entries in the list of endpoints: alone
// in it, among sound ones, in the place of one, in the listing and in the pages behind it. The
// sound ones must be used, the odd ones not, and the host must go on following.
func TestOddEntriesAmongEndpoints(t *testing.T) {
	odd := map[string][]byte{
		"nested":   endpointRecord(strings.Repeat("[", 50_000)+strings.Repeat("]", 50_000), "8"),
		"port":     endpointRecord(`"10.0.0.9:99999"`, "8"),
		"exponent": endpointRecord(`"10.0.0.9:80"`, "1e400"),
		"digits":   endpointRecord(`"10.0.0.9:80"`, "99999999999999999999"),
		"slots":    endpointRecord(`"10.0.0.9:80"`, "4611686018427387904"),
		"negative": endpointRecord(`"10.0.0.9:80"`, "-1"),
		"bytes":    {0xff, 0, '{'},
		"null":     []byte("null"),
	}
	sound := endpointRecord(`"10.0.0.1:80"`, "8")
	store := standin.NewStore(standin.StoreFaults{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	topic := platform.TopicEndpoints.Name
	for name, value := range odd {
		store.Put(topic, name, value)
	}

	var logged lockedBuffer
	logger := log.NewJSONLogger(&logged)
	e := newEndpoints(logger, prometheus.NewRegistry(), newOrigins(clock.Now), func(*endpoint.View, []endpoint.Change) {})
	e.started = &starting{configuration: &configuration{}, endpoints: e}
	f := follow.New(follow.Options{
		Store: platform.NewStore(server.Listener.Addr().String(), platform.StoreOptions{}), Topic: platform.TopicEndpoints,
		Handler: e, Wait: 50 * time.Millisecond, Logger: logger,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = f.Serve(ctx); close(done) }()
	defer func() { cancel(); <-done }()

	await := func(what string, ids ...string) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
			e.mu.Lock()
			known := e.table.Endpoints()
			e.mu.Unlock()
			var got []string
			for i := range known {
				got = append(got, known[i].ID)
			}
			if e.listed.Load() && strings.Join(got, " ") == strings.Join(ids, " ") {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: endpoints %q, want %q", what, got, ids)
			}
		}
	}
	await("odd entries alone")
	store.Put(topic, "", sound)
	store.Put(topic, "a", sound)
	await("a sound one behind them", "a")
	for name, value := range odd {
		store.Put(topic, "page-"+name, value)
		store.Put(topic, "b-"+name, sound)
	}
	var all []string
	for name := range odd {
		all = append(all, "b-"+name)
	}
	all = append([]string{"a"}, slices.Sorted(slices.Values(all))...)
	await("among sound ones in pages", all...)
	for _, value := range odd {
		store.Put(topic, "a", value)
		await("in the place of a sound one", all[1:]...)
		store.Put(topic, "a", sound)
		await("replaced by a sound one", all...)
	}
	// Each of them is read three times, and the one without a key once.
	if n, want := logged.count("endpoint_unreadable"), 3*len(odd)+1; n != want {
		t.Errorf("%d log lines on odd entries, want %d", n, want)
	}
}
