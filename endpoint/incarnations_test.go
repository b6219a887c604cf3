package endpoint

import (
	"testing"
	"time"
)

// runRecord returns the record of an endpoint that was born at a time and has a software version.
func runRecord(born int64, version string) Endpoint {
	e := ready("a")
	e.Started, e.Version = time.UnixMilli(born), version
	return e
}

// TestLateRecordOfAPreviousRun restarts an endpoint under its id, with another software version;
// records of the run before, which the store carried out late, come after the first of the new one.
func TestLateRecordOfAPreviousRun(t *testing.T) {
	first, second, steppedBack := runRecord(100, "v1"), runRecord(200, "v2"), runRecord(50, "v2")
	for _, c := range []struct {
		name    string
		records []Endpoint
		// removed is the number of records before which the endpoint's record lapses, if any.
		removed int
		want    string
	}{
		{"restarted", []Endpoint{first, second}, 0, "v2"},
		{"a late record", []Endpoint{first, second, first}, 0, "v2"},
		{"late records between", []Endpoint{first, second, first, second, first, first}, 0, "v2"},
		{"a late record after a lapse", []Endpoint{first, second, first}, 1, "v2"},
		{"its clock was set back", []Endpoint{first, steppedBack}, 0, "v2"},
		{"the clock was set back, and the old run is taken for the new one", []Endpoint{second, first, second, first, first, first, first}, 0, "v1"},
		{"a late record of a run that was not read", []Endpoint{second, first, second}, 0, "v2"},
	} {
		table := NewTable()
		for i, e := range c.records {
			if c.removed > 0 && i == c.removed {
				table.Remove(start, int64(10*i+5), "a")
			}
			table.Put(int64(10*i+10), e)
		}
		if got := table.Endpoints(); len(got) != 1 || got[0].Version != c.want {
			t.Errorf("%s: endpoints %+v, want version %s", c.name, got, c.want)
		}
	}
}

// TestEarlierRunsAreForgotten restarts endpoints again and again.
func TestEarlierRunsAreForgotten(t *testing.T) {
	table := NewTable()
	for i := range 100 {
		table.Put(int64(i+1), runRecord(int64(i), "v1"))
	}
	if n := len(table.runs["a"].started); n > maxRuns {
		t.Errorf("%d runs are kept", n)
	}
	table.Remove(start, 1000, "a")
	table.Tick(start)
	table.Tick(start.Add(leavingRetention))
	if len(table.runs) != 0 {
		t.Errorf("%d endpoints' runs are kept after the retention period", len(table.runs))
	}
}
