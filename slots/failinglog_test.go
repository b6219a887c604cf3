package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/scheduler"
)

// TestFailingLogTellsTheLastFailures guards against a new scheduler that learns by lost requests which
// endpoints fail, and against hellos that grow with the number of endpoints.
func TestFailingLogTellsTheLastFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	var l failingLog
	if got := l.list(now); len(got) != 0 {
		t.Errorf("%v without failures", got)
	}
	l.record(now, "a", scheduler.Errored)
	l.record(now.Add(time.Second), "a", scheduler.Failed)
	l.record(now.Add(2*time.Second), "b", scheduler.Unreachable)
	l.record(now.Add(2*time.Second), "c", scheduler.Errored)
	l.record(now.Add(3*time.Second), "c", scheduler.Finished)
	l.record(now.Add(3*time.Second), "d", scheduler.Abandoned)
	got := l.list(now.Add(4 * time.Second))
	want := []scheduler.FailingEndpoint{{Endpoint: "b", Failures: 1, Age: 2 * time.Second}, {Endpoint: "a", Failures: 2, Age: 3 * time.Second}}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%v, want %v", got, want)
	}
	if got := l.list(now.Add(time.Minute)); len(got) != 0 {
		t.Errorf("%v a minute later", got)
	}
	for i := range 1000 {
		l.record(now, fmt.Sprint(i), scheduler.Errored)
	}
	if len(l.endpoints) > maxFailing || len(l.list(now)) > maxHelloFailing {
		t.Errorf("%d endpoints kept, %d listed", len(l.endpoints), len(l.list(now)))
	}
}
