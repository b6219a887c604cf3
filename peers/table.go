package peers

import (
	"sort"
	"time"
)

// Expiry is how long a host is believed alive after it was heard of last: three
// heartbeats.
const Expiry = 3 * HeartbeatInterval

// Table is what a host knows of the others. It is a deterministic state machine
// without a clock; it is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	// lost tells that the store can't be reached: no host expires meanwhile.
	lost bool
}

// entry is a host and when it was heard of last.
type entry struct {
	host   Host
	offset int64
	// seen is when the host was heard of, beat when its record was read.
	seen       time.Time
	lastRecord time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{entries: make(map[string]*entry)}
}

// Put applies a host's record, unless it is older than the one that is held, or the store carried
// it out after a later one of the same run.
func (t *Table) Put(now time.Time, offset int64, h Host) {
	old := t.entries[h.Name]
	if old != nil && (offset < old.offset || offset == old.offset && old.host.Token != "") {
		// The same record may come again with the token, which another host left out.
		return
	}
	if old != nil && h.Incarnation == old.host.Incarnation && h.Beat < old.host.Beat {
		return
	}
	t.entries[h.Name] = &entry{host: h, offset: offset, seen: now, lastRecord: now}
}

// LastRecordRead returns when the newest record of a host was read, zero if none was.
func (t *Table) LastRecordRead(name string) time.Time {
	if e := t.entries[name]; e != nil {
		return e.lastRecord
	}
	return time.Time{}
}

// MarkAlive notes that a host was heard of by another way than the store: one that the
// store turns away keeps working.
func (t *Table) MarkAlive(now time.Time, name string) {
	if e := t.entries[name]; e != nil {
		e.seen = now
	}
}

// Remove applies the removal of a host's record.
func (t *Table) Remove(offset int64, name string) {
	if old := t.entries[name]; old != nil && offset > old.offset {
		delete(t.entries, name)
	}
}

// Lost notes that the store can't be reached.
func (t *Table) Lost() {
	t.lost = true
}

// Regained notes that the store is reached again: hosts get the time to write.
func (t *Table) Regained(now time.Time) {
	t.lost = false
	for _, e := range t.entries {
		e.seen = now
	}
}

// Expire drops the hosts that were not heard of for long and returns their names.
func (t *Table) Expire(now time.Time) []string {
	if t.lost {
		return nil
	}
	var out []string
	for name, e := range t.entries {
		if now.Sub(e.seen) > Expiry {
			delete(t.entries, name)
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Hosts returns the hosts in the order in which they schedule: those that stay before
// those that leave, those with more processor time before others, the oldest first. The
// load it answers: three hundred hosts, four in five of which have a fifth of a core, and
// whose scheduler needs more than that at a peak.
func (t *Table) Hosts() []Host {
	out := make([]Host, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.host)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := &out[i], &out[j]
		if a.Leaving != b.Leaving {
			return b.Leaving
		}
		if a.Processor != b.Processor {
			return a.Processor > b.Processor
		}
		if a.Joined != b.Joined {
			return a.Joined < b.Joined
		}
		return a.Name < b.Name
	})
	return out
}
