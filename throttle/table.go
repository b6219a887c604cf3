package throttle

import (
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

const (
	// MinRate is the lowest limit that is applied, in requests per second. An endpoint that
	// names a lower one gets a request so often, because only its answers tell when the
	// limit ends.
	MinRate = 0.2
	// endMargin is how much later than the last answer that named a limit a request has to
	// be sent for its answer to end the limit. It covers the latency of notices between
	// hosts, by which they seem younger than they are.
	endMargin = 250 * time.Millisecond
	// retention is how long the limit of an endpoint that is no longer known, or of a run that is
	// not the present one, is kept. It is longer than any outage of the store in which a record
	// could lapse.
	retention = 10 * time.Minute
)

// Table holds what a host knows of the rate limits of endpoints. It is not safe for
// concurrent use.
//
// Invariants: of two answers of one run the later one counts; an answer without a limit counts
// only if its request was sent endMargin after the last answer that named one; a limit ends with
// its incarnation, and otherwise only by an answer. Which incarnation is the present one is told
// by the endpoint's records, and before these are read by the answers: clocks of endpoints may be
// set back between two runs.
type Table struct {
	endpoints map[string]*runs
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{endpoints: make(map[string]*runs)}
}

// Begin records that by the records of an endpoint, i is its present run.
func (t *Table) Begin(i endpoint.Incarnation) {
	t.of(i.ID).present = i.Started
}

// Name records that an answer named a limit, in requests per second, and reports whether the
// limit has changed.
func (t *Table) Name(now time.Time, i endpoint.Incarnation, rate float64) bool {
	return t.of(i.ID).put(i, max(rate, MinRate), now)
}

// End records that the answer to a request sent at the given time named no limit, and
// reports whether this ended one.
func (t *Table) End(sent time.Time, i endpoint.Incarnation) bool {
	r := t.endpoints[i.ID]
	if r == nil || r.limit(i.Started) == 0 {
		return false
	}
	return r.put(i, 0, sent)
}

// Merge applies the notice of another host and reports whether it changed a limit.
func (t *Table) Merge(now time.Time, n Notice) bool {
	rate := n.Rate
	if rate > 0 {
		rate = max(rate, MinRate)
	}
	return t.of(n.Endpoint.ID).put(n.Endpoint, rate, now.Add(-n.Age))
}

// of returns the runs of an endpoint.
func (t *Table) of(id string) *runs {
	r := t.endpoints[id]
	if r == nil {
		r = &runs{}
		t.endpoints[id] = r
	}
	return r
}

// Rate returns the limit of an endpoint in requests per second; zero if it has none, or if i is
// not its present run.
func (t *Table) Rate(i endpoint.Incarnation) float64 {
	r := t.endpoints[i.ID]
	if r == nil || !r.isPresent(i.Started) {
		return 0
	}
	return r.limit(i.Started)
}

// Notices returns everything in the table, sorted by endpoint.
func (t *Table) Notices(now time.Time) []Notice {
	out := make([]Notice, 0, len(t.endpoints))
	for _, r := range t.endpoints {
		for _, e := range r.entries {
			out = append(out, Notice{Endpoint: e.incarnation, Rate: e.rate, Age: now.Sub(e.at)})
		}
	}
	SortNotices(out)
	return out
}

// Expire drops the entries of unknown endpoints and former runs that are older than retention, and
// of ended limits that no notice under way could contradict any more.
func (t *Table) Expire(now time.Time, known func(id string) bool) {
	for id, r := range t.endpoints {
		r.expire(now, known(id))
		if len(r.entries) == 0 && !known(id) {
			delete(t.endpoints, id)
		}
	}
}

// endedRetention is how long the end of a limit is kept. It is longer than a session between
// hosts can be silent, so that no host brings back the limit from before.
const endedRetention = 30 * time.Second
