package follow

import (
	"sort"

	"github.com/peridotmount/peridotmount/platform"
)

// recordSet holds the newest record of each key.
type recordSet map[string]platform.KeyedRecord

func (k recordSet) apply(records []platform.KeyedRecord) {
	for _, r := range records {
		if r.Deletes() {
			delete(k, r.Key)
		} else {
			k[r.Key] = r
		}
	}
}

// sorted returns the records in offset order.
func (k recordSet) sorted() []platform.KeyedRecord {
	out := make([]platform.KeyedRecord, 0, len(k))
	for _, r := range k {
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
