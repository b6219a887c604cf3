package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

var start = time.Unix(100_000, 0)

func expect(t *testing.T, what string, table *Table, now time.Time, request, version string) {
	t.Helper()
	if got, known := table.Lookup(now, request); got.Version != version || known != (version != "") {
		t.Errorf("%s: %s was begun by %q (known: %t), want %q", what, request, got.Version, known, version)
	}
}

// TestStreamsAreKeptForRetention looks streams up when they are as old as callers may resume
// them, and much later.
func TestStreamsAreKeptForRetention(t *testing.T) {
	table := NewTable()
	for i := range 60 {
		table.Record(start.Add(time.Duration(i)*time.Second), fmt.Sprint("r", i), "v1")
	}
	now := start.Add(59 * time.Second)
	expect(t, "young", table, now, "r59", "v1")
	expect(t, "as old as Retention", table, now, "r40", "v1")
	expect(t, "never begun", table, now, "r60", "")
	expect(t, "old", table, now.Add(3*Retention), "r59", "")
	if n := len(table.All(now.Add(3 * Retention))); n != 0 {
		t.Errorf("streams of %d versions are left", n)
	}
}

// TestOwnEventsOutweighWhatIsTold is told of a stream before and after its first event arrives here.
func TestOwnEventsOutweighWhatIsTold(t *testing.T) {
	table := NewTable()
	told := make(Streams)
	told.Add("r", "v1")
	if added := table.Merge(start, "other", Batch{Streams: told}); len(added.Streams["v1"]) != idBytes {
		t.Errorf("added: %v", added)
	}
	expect(t, "told", table, start, "r", "v1")
	table.Record(start, "r", "v2")
	expect(t, "own", table, start, "r", "v2")
	if added := table.Merge(start, "other", Batch{Streams: told}); len(added.Streams) != 0 {
		t.Errorf("a stream that is known was added: %v", added)
	}
	expect(t, "told late", table, start, "r", "v2")
}

// TestStreamsTravel hands streams to another host in batches.
func TestStreamsTravel(t *testing.T) {
	from, to := NewTable(), NewTable()
	for i := range 25 {
		from.Record(start, fmt.Sprint("r", i), fmt.Sprint("v", i%2))
	}
	var batches []Batch
	for _, b := range from.All(start) {
		batches = append(batches, b.Split(4)...)
	}
	for _, b := range batches {
		to.Merge(start, "scheduler", b)
	}
	for i := range 25 {
		expect(t, "told", to, start, fmt.Sprint("r", i), fmt.Sprint("v", i%2))
	}
	for i := range 25 {
		request := fmt.Sprint("r", i)
		if b, known := from.LookupOwn(start, request); !known || b.Source != Own || b.From != "" {
			t.Errorf("%s: %+v (known: %t), want one of the host's own", request, b, known)
		}
		if b, known := to.LookupOwn(start, request); known || b.Source != Told || b.From != "scheduler" {
			t.Errorf("%s, after it travelled: %+v (own: %t)", request, b, known)
		}
	}
	if want := 7; len(batches) != want {
		t.Errorf("%d batches, want %d", len(batches), want)
	}
}

// TestTableIsBounded records more streams than a Retention has room for.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 * maxEntries {
		table.Record(start, fmt.Sprint("r", i), "v1")
	}
	if n := len(table.current) + len(table.previous); n > 2*maxEntries {
		t.Errorf("%d streams are kept", n)
	}
}

func endpoints(started time.Time, versions ...string) []endpoint.Endpoint {
	var out []endpoint.Endpoint
	for i, v := range versions {
		out = append(out, endpoint.Endpoint{ID: fmt.Sprint(i), Service: "s", Version: v, Started: started})
	}
	return out
}

// TestOnlyVersionIsCertain lists what a host has seen of a service, and whether it can tell the
// version of a stream of which it knows nothing.
func TestOnlyVersionIsCertain(t *testing.T) {
	old := start.Add(-time.Hour)
	for _, c := range []struct {
		name string
		// seen are the versions listed at each second, from start on.
		seen    [][]string
		started time.Time
		// after is the time of the question, from start on.
		after time.Duration
		// noted is what other hosts noted; nil was not read.
		noted map[string]bool
		want  string
	}{
		{"nothing seen", nil, old, time.Second, nil, ""},
		{"one, long before this host", [][]string{{"v1", "v1"}}, old, time.Second, nil, ""},
		{"one, long before this host, and nobody noted several", [][]string{{"v1", "v1"}}, old, time.Second, map[string]bool{}, "v1"},
		{"one, watched for long, nothing told", [][]string{{"v1"}}, old, Retention, nil, "v1"},
		{"one, as young as this host", [][]string{{"v2", "v2"}}, start, time.Second, nil, ""},
		{"the same, and nobody noted several", [][]string{{"v2", "v2"}}, start, time.Second, map[string]bool{}, "v2"},
		{"the same, and several are noted", [][]string{{"v2", "v2"}}, start, time.Second, map[string]bool{"s": true}, ""},
		{"one, old, but several are noted", [][]string{{"v1"}}, old, time.Second, map[string]bool{"s": true}, ""},
		{"one, watched for long", [][]string{{"v2"}}, start, Retention + 10*time.Second, map[string]bool{"s": true}, "v2"},
		{"two", [][]string{{"v1", "v2"}}, old, time.Second, map[string]bool{}, ""},
		{"one left of two", [][]string{{"v1", "v2"}, {"v2"}}, old, 5 * time.Second, map[string]bool{}, ""},
	} {
		h := NewHistory()
		if c.noted != nil {
			h.AddNoted(c.noted)
		}
		for i, versions := range c.seen {
			h.Observe(start.Add(time.Duration(i)*time.Second), endpoints(c.started, versions...))
		}
		now := start.Add(c.after)
		if got, known := h.Only(now, "s"); got != c.want || known != (c.want != "") {
			t.Errorf("%s: %q (known: %t), want %q", c.name, got, known, c.want)
		}
	}
}

// TestLeftVersionIsForgotten ends a release: once no stream of the old version can be resumed,
// the new one is the only one.
func TestLeftVersionIsForgotten(t *testing.T) {
	h := NewHistory()
	h.Observe(start, endpoints(start, "v1", "v2"))
	if got, known := h.Only(start, "s"); known {
		t.Errorf("two versions serve, and %s is the only one", got)
	}
	now := start.Add(Retention + 10*time.Second)
	h.Observe(start.Add(Retention), endpoints(start, "v1", "v2"))
	h.Observe(now, endpoints(start, "v2"))
	if got, known := h.Only(now, "s"); known {
		t.Errorf("the version that left is forgotten at once, and %s is the only one", got)
	}
	now = start.Add(3 * Retention)
	h.Observe(now, endpoints(start, "v2"))
	if got, known := h.Only(now, "s"); !known || got != "v2" {
		t.Errorf("only version %q (known: %t), want v2", got, known)
	}
}

// TestVersionThatLeftWhileAHostStoodStillIsNotForgotten has a host look at the endpoints after a time that is
// longer than Retention, in which one of two versions left: its streams may be a moment old.
func TestVersionThatLeftWhileAHostStoodStillIsNotForgotten(t *testing.T) {
	h := NewHistory()
	h.Observe(start, endpoints(start, "v1", "v2"))
	for i := range 3 {
		h.Observe(start.Add(time.Duration(i)*time.Second), endpoints(start, "v1", "v2"))
	}
	now := start.Add(3 * Retention)
	h.Observe(now, endpoints(start, "v2"))
	if got, known := h.Only(now, "s"); known {
		t.Errorf("%s is the only version", got)
	}
	now = now.Add(Retention + time.Second)
	h.Observe(now, endpoints(start, "v2"))
	if got, known := h.Only(now, "s"); !known || got != "v2" {
		t.Errorf("later: only version %q (known: %t), want v2", got, known)
	}
}

// TestVersionBetweenTwoLooksIsNotMissed has a version come and leave between two looks, in records that were
// read, and in some that were not.
func TestVersionBetweenTwoLooksIsNotMissed(t *testing.T) {
	for name, between := range map[string]func(h *History, now time.Time){
		"read":   func(h *History, now time.Time) { h.ObserveRecord(now, &endpoints(now, "v2")[0]) },
		"missed": func(h *History, now time.Time) { h.Miss(now) },
	} {
		h := NewHistory()
		h.AddNoted(map[string]bool{})
		h.Observe(start, endpoints(start, "v1"))
		now := start.Add(2 * Retention)
		h.Observe(now, endpoints(start, "v1"))
		between(h, now)
		h.Observe(now, endpoints(start, "v1"))
		if got, known := h.Only(now, "s"); known {
			t.Errorf("%s: %s is the only version", name, got)
		}
		now = now.Add(Retention + time.Second)
		h.Observe(now, endpoints(start, "v1"))
		if got, known := h.Only(now, "s"); !known || got != "v1" {
			t.Errorf("%s, later: only version %q (known: %t), want v1", name, got, known)
		}
	}
}
