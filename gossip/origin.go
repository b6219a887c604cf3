package gossip

import (
	"sort"
	"time"
)

// scopeLog holds the entries of one origin and scope in the order of their
// counters. Invariant: every entry with a counter up to complete that still
// counts is held.
type scopeLog struct {
	complete uint64
	records  []*record
}

// origin is what a Store knows of one origin.
type origin struct {
	name        string
	incarnation int64
	// heard is when the last news of the origin came.
	heard time.Time
	logs  [len(scopes)]scopeLog
}

func (l *scopeLog) search(counter uint64) int {
	return sort.Search(len(l.records), func(i int) bool { return l.records[i].Version.Counter >= counter })
}

func (l *scopeLog) insert(r *record) {
	i := l.search(r.Version.Counter)
	l.records = append(l.records, nil)
	copy(l.records[i+1:], l.records[i:])
	l.records[i] = r
	l.advance()
}

func (l *scopeLog) remove(r *record) {
	i := l.search(r.Version.Counter)
	if i < len(l.records) && l.records[i] == r {
		l.records = append(l.records[:i], l.records[i+1:]...)
	}
}

// advance raises complete over the entries that follow it without a hole.
func (l *scopeLog) advance() {
	for i := l.search(l.complete + 1); i < len(l.records); i++ {
		if l.records[i].Since > l.complete {
			return
		}
		l.complete = l.records[i].Version.Counter
	}
}

// since returns the counter of the entry before the i-th, if it is known.
func (l *scopeLog) since(i int) uint64 {
	r := l.records[i]
	if r.Version.Counter > l.complete {
		return r.Since
	}
	if i == 0 {
		return 0
	}
	return l.records[i-1].Version.Counter
}
