package throttle

import (
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

const (
	// maxRuns bounds the runs of one endpoint whose limits are kept.
	maxRuns = 4
	// lateAnswers is how long answers of a run arrive after it has ended.
	lateAnswers = 5 * time.Second
)

// runs holds what is known of the rate limits of one endpoint, by run. Hosts hear of a run in
// any order, and some before they read its record.
type runs struct {
	// present is the start of the present run by the endpoint's records, zero while none was read.
	present time.Time
	entries []*entry
}

// entry is the last answer of a run that counts.
type entry struct {
	incarnation endpoint.Incarnation
	// rate is zero if the answer named no limit.
	rate float64
	// at is when the answer arrived, or when its request was sent if it named no limit.
	at time.Time
}

// put applies an answer of a run and reports whether it changed the run's limit.
func (r *runs) put(i endpoint.Incarnation, rate float64, at time.Time) bool {
	e := r.entry(i.Started)
	switch {
	case e == nil:
		return r.add(&entry{incarnation: i, rate: rate, at: at}) && rate > 0
	case !at.After(e.at), e.rate > 0 && rate == 0 && at.Sub(e.at) < endMargin:
		return false
	}
	changed := e.rate != rate
	e.rate, e.at = rate, at
	return changed
}

// add adds the first answer of a run, unless the last ones of maxRuns others are later.
func (r *runs) add(e *entry) bool {
	r.entries = append(r.entries, e)
	if len(r.entries) <= maxRuns {
		return true
	}
	oldest := -1
	for i, other := range r.entries {
		kept := other.incarnation.Started.Equal(r.present)
		if !kept && (oldest < 0 || other.at.Before(r.entries[oldest].at)) {
			oldest = i
		}
	}
	dropped := r.entries[oldest]
	r.entries = slices.Delete(r.entries, oldest, oldest+1)
	return dropped != e
}

func (r *runs) entry(started time.Time) *entry {
	for _, e := range r.entries {
		if e.incarnation.Started.Equal(started) {
			return e
		}
	}
	return nil
}

// limit returns the limit that a run named last; zero if it named none.
func (r *runs) limit(started time.Time) float64 {
	if e := r.entry(started); e != nil {
		return e.rate
	}
	return 0
}

// isPresent reports whether a run is the present one: by the records, or else by who answered last.
func (r *runs) isPresent(started time.Time) bool {
	if !r.present.IsZero() {
		return r.present.Equal(started)
	}
	var last *entry
	for _, e := range r.entries {
		if last == nil || e.follows(last) {
			last = e
		}
	}
	return last != nil && last.incarnation.Started.Equal(started)
}

// follows reports whether the answer of a run shows that it came after another one. Of two that
// answered within lateAnswers only the starts tell.
func (e *entry) follows(other *entry) bool {
	if between := e.at.Sub(other.at); between.Abs() >= lateAnswers {
		return between > 0
	}
	return other.incarnation.Started.Before(e.incarnation.Started)
}

// expire drops what nobody needs any more; known is whether the endpoint is.
func (r *runs) expire(now time.Time, known bool) {
	var kept []*entry
	for _, e := range r.entries {
		age := now.Sub(e.at)
		ended := e.rate == 0 && age > endedRetention
		inUse := known && r.isPresent(e.incarnation.Started)
		if !ended && (inUse || age <= retention) {
			kept = append(kept, e)
		}
	}
	r.entries = kept
}
