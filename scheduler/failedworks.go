package scheduler

import "time"

const (
	// maxFailedWorks is how many pieces of work that failed are remembered, failedWorkAge for
	// how long: a client retries within its deadline.
	maxFailedWorks = 128
	failedWorkAge  = 10 * time.Second
	// maxFailedAt is at how many endpoints the failures of one piece of work are remembered.
	maxFailedAt = 4
)

// failedWork is work that failed at endpoints.
type failedWork struct {
	work uint64
	at   time.Time
	// endpoints are those at which it failed, evidence what was counted against each, and
	// lost whether a crash was counted.
	endpoints [maxFailedAt]*endpointState
	evidence  [maxFailedAt]float64
	lost      [maxFailedAt]bool
	n         int
	// faulty means that the work fails wherever it runs.
	faulty bool
}

// failedWorks holds the last pieces of work that failed, oldest evicted first.
type failedWorks struct {
	ring []failedWork
	next int
}

// find returns work that failed of late, or nil.
func (f *failedWorks) find(now time.Time, work uint64) *failedWork {
	if work == 0 {
		return nil
	}
	for i := range f.ring {
		if w := &f.ring[i]; w.work == work && now.Sub(w.at) < failedWorkAge {
			return w
		}
	}
	return nil
}

// record records a failure at an endpoint.
func (f *failedWorks) record(now time.Time, work uint64, s *endpointState, evidence float64, lost bool) {
	if work == 0 {
		return
	}
	w := f.find(now, work)
	if w == nil {
		if len(f.ring) < maxFailedWorks {
			f.ring = append(f.ring, failedWork{})
		}
		w = &f.ring[f.next]
		f.next = (f.next + 1) % maxFailedWorks
		*w = failedWork{work: work}
	}
	w.at = now
	for i := range w.n {
		if w.endpoints[i] == s {
			w.evidence[i] += evidence
			w.lost[i] = w.lost[i] || lost
			return
		}
	}
	if w.n < maxFailedAt {
		w.endpoints[w.n], w.evidence[w.n], w.lost[w.n] = s, evidence, lost
		w.n++
	}
}

// failsAnywhere reports whether the work failed at two endpoints at least that nothing else speaks
// against, one of them s.
func (w *failedWork) failsAnywhere(s *endpointState) bool {
	if s.health.evidence >= suspectEvidence {
		return false
	}
	for i := range w.n {
		if o := w.endpoints[i]; o != s && o.health.evidence-w.evidence[i] < suspectEvidence {
			return true
		}
	}
	return false
}
