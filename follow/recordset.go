package follow

import (
	"sort"

	"github.com/peridotmount/peridotmount/platform"
)

// recordSet holds the newest record of each key.
type recordSet map[string]platform.KeyedRecord

// apply adds records. Their values are replaced by redact unless it is nil.
func (s recordSet) apply(records []platform.KeyedRecord, redact func(value []byte) []byte) {
	for _, r := range records {
		if r.Deletes() {
			delete(s, r.Key)
			continue
		}
		if redact != nil {
			r.Value = redact(r.Value)
		}
		s[r.Key] = r
	}
}

// sorted returns the records in offset order.
func (s recordSet) sorted() []platform.KeyedRecord {
	out := make([]platform.KeyedRecord, 0, len(s))
	for _, r := range s {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Offset < out[j].Offset })
	return out
}

// Records returns the newest record of each key in offset order, and whether the
// topic was listed. It returns no records unless Options.Keep is set.
func (f *Follower) Records() ([]platform.KeyedRecord, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestByKey.sorted(), !f.confirmedAt.IsZero()
}
