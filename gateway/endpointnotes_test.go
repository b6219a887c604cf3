package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/picture"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/throttle"
)

// newNotingHost returns the notes of a host, with limits and origins of its own.
func newNotingHost(address string) *endpointNotes {
	l := newLimits(log.NewNopLogger(), prometheus.NewRegistry())
	l.known = func(string) bool { return true }
	l.changed = func() {}
	l.report = func([]throttle.Notice) {}
	return &endpointNotes{
		store: platform.NewStore(address, platform.StoreOptions{}), limits: l, origins: newOrigins(clock.Now),
		schedules: func() bool { return true }, logger: log.NewNopLogger(),
		ask: func(context.Context) (map[string]platform.KeyedRecord, error) { return nil, picture.ErrNobody },
	}
}

// askHost returns a question that another host answers, unless it does not know either.
func askHost(other *endpointNotes) func(context.Context) (map[string]platform.KeyedRecord, error) {
	return func(ctx context.Context) (map[string]platform.KeyedRecord, error) {
		server := httptest.NewServer(picture.NewServer(map[string]picture.Read{platform.TopicEndpointNotes.Name: other.Records}))
		defer server.Close()
		return picture.NewClient([]string{server.Listener.Addr().String()}, &http.Client{}).AskAll(ctx, platform.TopicEndpointNotes)
	}
}

// runNotes runs the notes of a host until the condition holds.
func (n *endpointNotes) runNotes(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = n.Serve(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not in time", what)
		}
	}
}

// notes returns how many notes the store holds.
func notes(t *testing.T, address string) int {
	t.Helper()
	records, err := platform.ListAll(context.Background(), platform.NewStore(address, platform.StoreOptions{}), platform.TopicEndpointNotes)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for i := range records {
		if !records[i].Deletes() {
			n++
		}
	}
	return n
}

func serving(versions ...string) []endpoint.Endpoint {
	var out []endpoint.Endpoint
	for _, v := range versions {
		out = append(out, endpoint.Endpoint{ID: v, Service: "s", Version: v, Started: time.Now()})
	}
	return out
}

// TestNotesOutliveAllHosts has a host note a limit and a service with two versions, and end. The
// next one, which starts when nobody is left, sees a single version: it knows the limit, and
// that it doesn't know who began streams. Without notes it would know that.
func TestNotesOutliveAllHosts(t *testing.T) {
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	address := server.Listener.Addr().String()

	limited := endpoint.Endpoint{ID: "limited", Service: "s", Started: time.UnixMilli(7)}
	first := newNotingHost(address)
	first.origins.Observe(serving("v1", "v2"))
	first.limits.Answered(limited.Incarnation(), 2.5, clock.Now())
	first.runNotes(t, "the first host writes", func() bool { return notes(t, address) == 2 })

	next := newNotingHost(address)
	next.origins.Observe(serving("v2"))
	if _, known := next.origins.Version("s", "r", time.Time{}); known {
		t.Error("the next host knows who began a stream before it has read the notes")
	}
	next.runNotes(t, "the next host reads", func() bool { return next.limits.Rate(&limited) == 2.5 })
	if _, known := next.origins.Version("s", "r", time.Time{}); known || next.origins.Single("s") {
		t.Error("the next host takes the version that it sees for the only one")
	}
	next.limits.Answered(limited.Incarnation(), 0, clock.Now())
	next.runNotes(t, "the ended limit is deleted", func() bool { return notes(t, address) == 1 })

	alone := newNotingHost(address)
	alone.origins.Observe(nil)
	alone.written, alone.schedules = map[string]string{versionsNote + "s": "several"}, func() bool { return true }
	alone.runNotes(t, "the note on versions is deleted", func() bool { return notes(t, address) == 0 })
	late := newNotingHost(address)
	late.origins.Observe(serving("v2"))
	late.runNotes(t, "a host that finds no notes is certain", func() bool { return late.origins.Single("s") })
}

// TestHostAddedInAnOutageGuessesNoVersion guards against streams that go on at another software
// version than the one that began them: a host that started while the store was down took the
// version of the endpoints that were left for the only one, as they had started long ago. What it
// does not know it asks other hosts.
func TestHostAddedInAnOutageGuessesNoVersion(t *testing.T) {
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{Outage: standin.OutageBusy}).Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	address := server.Listener.Addr().String()
	old := serving("v2")
	old[0].Started = time.Now().Add(-10 * time.Minute)

	alone := newNotingHost(address)
	alone.origins.Observe(old)
	for range 2 {
		alone.read(context.Background())
		if version, known := alone.origins.Version("s", "r", time.Time{}); known || alone.origins.Single("s") {
			t.Errorf("a host that nobody told of other versions takes %q for the one that began a stream", version)
		}
	}
	if _, whole := alone.Records(); whole {
		t.Error("a host that nobody told of other versions claims to know all")
	}

	left := newNotingHost(address)
	left.origins.AddNoted(nil)
	left.origins.Observe(serving("v1", "v2"))
	left.origins.Observe(old)
	limited := endpoint.Endpoint{ID: "limited", Service: "s", Started: time.UnixMilli(7)}
	left.limits.Answered(limited.Incarnation(), 2.5, clock.Now())
	told := newNotingHost(address)
	told.ask = askHost(left)
	told.origins.Observe(old)
	told.read(context.Background())
	if version, known := told.origins.Version("s", "r", time.Time{}); known {
		t.Errorf("a host that was told of two versions takes %q for the one that began a stream", version)
	}
	if rate := told.limits.Rate(&limited); rate != 2.5 {
		t.Errorf("the rate limit that the other host knows is %v, want 2.5", rate)
	}

	single := newNotingHost(address)
	single.origins.AddNoted(nil)
	single.origins.Observe(old)
	certain := newNotingHost(address)
	certain.ask = askHost(single)
	certain.origins.Observe(old)
	certain.read(context.Background())
	if b, known := certain.origins.Version("s", "r", time.Time{}); !known || b.Version != "v2" {
		t.Errorf("a host that was told of no other version: %q, known %t, want v2", b.Version, known)
	}

	uncertain := newNotingHost(address)
	uncertain.ask = askHost(alone)
	uncertain.origins.Observe(old)
	uncertain.read(context.Background())
	if _, known := uncertain.origins.Version("s", "r", time.Time{}); known {
		t.Error("a host that asked one that does not know takes that for knowledge")
	}
}

// TestLimitsOfSeveralRunsMakeOneNote has a host hear of limits of two runs of an endpoint, the earlier
// of which started later by its clock: the present run's is the one in force, and the one noted.
func TestLimitsOfSeveralRunsMakeOneNote(t *testing.T) {
	host := newNotingHost("http://127.0.0.1:1")
	present := endpoint.Endpoint{ID: "limited", Service: "s", Started: time.UnixMilli(7)}
	former := present
	former.Started = present.Started.Add(time.Hour)
	host.limits.Answered(present.Incarnation(), 2.5, clock.Now())
	host.limits.Merge([]throttle.Notice{{Endpoint: former.Incarnation(), Rate: 7}})
	host.limits.Begin(present.Incarnation())
	if now, before := host.limits.Rate(&present), host.limits.Rate(&former); now != 2.5 || before != 0 {
		t.Errorf("limits %g and %g of the former run, want 2.5 and 0", now, before)
	}
	var noted throttle.Notice
	if err := json.Unmarshal([]byte(host.wanted()[limitNote+present.ID]), &noted); err != nil || noted.Rate != 2.5 {
		t.Errorf("the note names %g, error %v", noted.Rate, err)
	}
}
