package follow

import (
	"sort"
	"time"

	"github.com/peridotmount/peridotmount/platform"
)

// listing is what the pages of a listing have brought so far.
type listing struct {
	// sent is when the first page was asked for.
	sent time.Time
	// after is the key to go on behind.
	after string
	// end is the offset that the next append had at the first page, -1 before it.
	end     int64
	records []platform.KeyedRecord
}

// add takes a page, and reports whether it was the last.
func (l *listing) add(page platform.Snapshot) bool {
	if l.end < 0 {
		l.end = page.End
	}
	l.records = append(l.records, page.Records...)
	l.after = page.After
	return l.after == ""
}

// sorted returns the records in offset order.
func (l *listing) sorted() []platform.KeyedRecord {
	sort.Slice(l.records, func(i, j int) bool { return l.records[i].Offset < l.records[j].Offset })
	return l.records
}
