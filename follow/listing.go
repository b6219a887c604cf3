package follow

import (
	"sort"
	"time"

	"github.com/peridotmount/peridotmount/platform"
)

// listing accumulates the pages of a listing in progress.
type listing struct {
	// sent is when the first page was requested.
	sent time.Time
	// after is the key after which the next page starts.
	after string
	// end is the end offset of the topic as of the first page, -1 before that page.
	end     int64
	records []platform.KeyedRecord
}

// add appends a page and reports whether it was the last one.
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
