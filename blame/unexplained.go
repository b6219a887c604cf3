package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashesTold and maxRunsTold bound what another scheduler is told.
	maxCrashesTold = 64
	maxRunsTold    = 8
)

// Unexplained returns the reports of the newest crashes that no conviction accounts for, for a
// scheduler that takes over. Keys that were answered since are left out, and so are the runs beyond
// a bound, first those of requests that are not suspects.
func (t *Tracker) Unexplained(now time.Time) []Crash {
	t.expire(now)
	var ids []string
	for id, c := range t.crashes {
		if !c.explained && len(c.runs) > 0 {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(t.crashes[b].at.Compare(t.crashes[a].at), cmp.Compare(a, b))
	})
	var out []Crash
	for _, id := range ids[:min(len(ids), maxCrashesTold)] {
		c := t.crashes[id]
		attempts := slices.SortedFunc(maps.Keys(c.runs), func(a, b string) int {
			return cmp.Or(t.suspectsAmong(c.runs[b])-t.suspectsAmong(c.runs[a]), cmp.Compare(a, b))
		})
		for _, attempt := range attempts[:min(len(attempts), maxRunsTold)] {
			keys := slices.DeleteFunc(slices.Clone(c.runs[attempt]), func(k Key) bool { return !c.at.After(t.answered[k]) })
			if len(keys) > 0 {
				out = append(out, Crash{
					Endpoint: id, Service: c.service, Endpoints: c.endpoints, Attempt: attempt, Keys: keys, Age: now.Sub(c.at),
				})
			}
		}
	}
	return out
}

// suspectsAmong returns how many keys are under suspicion.
func (t *Tracker) suspectsAmong(keys []Key) int {
	n := 0
	for _, k := range keys {
		if !t.suspectSince[k].IsZero() {
			n++
		}
	}
	return n
}
