package endpoint

import (
	"slices"
	"time"
)

const (
	// maxRuns bounds the runs that are kept of one endpoint.
	maxRuns = 4
	// maxLateRecords is how many records of an earlier run are ignored in a row. An endpoint that
	// keeps writing is the one that runs, whatever its clock said when it started.
	maxLateRecords = 3
)

// runs are the last runs of an endpoint, told apart by when they started, the present one last.
type runs struct {
	started []time.Time
	// late counts the records of earlier runs since the last of the present one.
	late int
	// goneAt is when the endpoint was first found without an entry; zero while it has one.
	goneAt time.Time
}

// isLate takes the start of the run of a record, and reports whether the record is of an earlier
// run than the present one: the store may carry out a write after the next run's first.
func (r *runs) isLate(started time.Time) bool {
	known := slices.IndexFunc(r.started, started.Equal)
	present := len(r.started) - 1
	switch {
	case known >= 0 && known < present && started.Before(r.started[present]) && r.late < maxLateRecords:
		r.late++
		return true
	case known >= 0:
		r.started = slices.Delete(r.started, known, known+1)
	}
	r.late = 0
	r.started = append(r.started, started)
	r.started = r.started[max(0, len(r.started)-maxRuns):]
	return false
}

// expired reports whether an endpoint has been without an entry for leavingRetention.
func (r *runs) expired(now time.Time, listed bool) bool {
	switch {
	case listed:
		r.goneAt = time.Time{}
	case r.goneAt.IsZero():
		r.goneAt = now
	}
	return !listed && now.Sub(r.goneAt) >= leavingRetention
}
