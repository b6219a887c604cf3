package jobs

import "testing"

// olderRecords are ledger records as builds wrote them before records named software versions.
var olderRecords = []string{
	`{"job":"j","writer":"w","submit":{"attempt":"attempt/j/w.1","route":"r","host":"h","path":"/p/j","items":[{"id":"i","tokens":5,"prompt":2,"expected":3,"prefix":["a","b"]}],"inputs":[{"first":0,"count":1,"blob":{"segments":[{"offset":3,"keys":["output/j/w.1/0#0.0"]}],"bytes":7,"spare":["output/j/w.1/0#1.0"]}}],"taken_by":"host","tokens":5,"quota":9,"submitted_ms":0,"window_ms":18000,"retention_ms":300000,"max_failures":3}}`,
	`{"job":"j","writer":"w","partial":{"item":0,"events":4,"output":{"segments":[{"offset":3,"keys":["output/j/w.1/0#0.0"]}],"bytes":7,"spare":["output/j/w.1/0#1.0"]}}}`,
	`{"job":"j","writer":"w","failure":{"item":0,"run":"run/j/w.2","status":500}}`,
	`{"job":"j","writer":"w","result":{"item":0,"output":{"segments":[{"offset":3,"keys":["output/j/w.1/0#0.0"]}],"bytes":7,"spare":["output/j/w.1/0#1.0"]}}}`,
	`{"job":"j","writer":"w","cancel":{}}`,
}

// TestRecordsOfOlderBuildsAreKept applies the records of an older build, of which hosts may run
// beside newer ones, and writes them again: neither build may lose a field of the other's.
func TestRecordsOfOlderBuildsAreKept(t *testing.T) {
	s := NewState()
	for i, value := range olderRecords {
		r, err := DecodeRecord([]byte(value))
		if err != nil {
			t.Fatalf("%s: %v", value, err)
		}
		again, err := r.Encode()
		if err != nil || string(again) != value {
			t.Errorf("written again as %s, error %v, want %s", again, err, value)
		}
		s.Apply(int64(i), "k", r)
		if job := s.Job("j"); job == nil {
			t.Fatalf("no job after %s", value)
		}
	}
	job := s.Job("j")
	if len(job.Results) != 1 || !job.Cancelled || job.Failures(0) != 1 || s.Waiting("", "r") != 0 {
		t.Errorf("job %+v", job)
	}
}
