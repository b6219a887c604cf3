package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/platform"
)

// versionRecord is the record of an endpoint of service s.
func versionRecord(offset int64, id, version string) platform.KeyedRecord {
	return platform.KeyedRecord{Key: id, Offset: offset, Value: fmt.Appendf(nil,
		`{"service":"s","address":"127.0.0.1:1","zone":"z","version":%q,"slots":1,"state":"ready","cold_left_ms":0,"seq":1,"born":1}`, version)}
}

// TestListFromBeforeTheQuestionTellsNoVersion has a stream taken up at a host that knows a single version,
// and has not read the list of endpoints since: another one may have come and begun the stream.
func TestListFromBeforeTheQuestionTellsNoVersion(t *testing.T) {
	readUntil := clock.Now()
	o := newOrigins(func() time.Time { return readUntil })
	o.AddNoted(map[string]bool{})
	o.Observe([]endpoint.Endpoint{{ID: "old", Service: "s", Version: "v1"}})
	asked := readUntil.Add(time.Millisecond)
	if b, known := o.Version("s", "r", asked); known {
		t.Errorf("%+v is known by a list that is older than the question", b)
	}
	readUntil = asked
	if b, known := o.Version("s", "r", asked); !known || b.Version != "v1" {
		t.Errorf("%+v (known: %t) by a list that was read since, want v1", b, known)
	}
}

// TestVersionThatCameAndWentBetweenTwoReads has a host read records of a version that has left since, and list
// the endpoints again as records were trimmed: the version that is left began not all streams.
func TestVersionThatCameAndWentBetweenTwoReads(t *testing.T) {
	for name, read := range map[string]func(e *endpoints){
		"in one page": func(e *endpoints) {
			e.Changed(clock.Now(), []platform.KeyedRecord{versionRecord(2, "new", "v2"), {Key: "new", Offset: 3}})
		},
		"trimmed": func(e *endpoints) {
			e.Listed(clock.Now(), []platform.KeyedRecord{versionRecord(4, "old", "v1")}, 5)
		},
	} {
		o := newOrigins(clock.Now)
		o.AddNoted(map[string]bool{})
		e := newEndpoints(log.NewNopLogger(), prometheus.NewRegistry(), o, func(*endpoint.View, []endpoint.Change) {})
		e.started = &starting{configuration: &configuration{}, endpoints: e, convictions: &convictions{}}
		e.Listed(clock.Now(), []platform.KeyedRecord{versionRecord(1, "old", "v1")}, 2)
		if b, known := o.Version("s", "r", time.Time{}); !known || b.Version != "v1" {
			t.Fatalf("%s: %+v (known: %t): the run did not reach what it tests", name, b, known)
		}
		read(e)
		if b, known := o.Version("s", "r", time.Time{}); known {
			t.Errorf("%s: %+v is known", name, b)
		}
	}
}
