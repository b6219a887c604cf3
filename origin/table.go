package origin

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long a stream's version is kept at least after it began. Callers take
	// streams up again within their deadlines, which are shorter.
	Retention = 20 * time.Second
	// maxEntries bounds the streams of a Retention, of which each takes about 50 bytes.
	maxEntries = 1 << 17
)

// Table holds the versions that began streams, by the id of the client's request that brought
// the first event. It is not safe for concurrent use.
//
// Invariants: the word of the host that received a stream's first event is not replaced by a grant,
// and what this host saw itself by nothing that others tell; a stream stands in one
// of the two generations only.
type Table struct {
	// current and previous hold the streams of the current and the previous Retention.
	current, previous map[uint64]entry
	rotatedAt         time.Time
}

// entry is the version that began a stream.
type entry struct {
	version string
	source  source
}

// source tells how a version is known, the most reliable last.
type source int

const (
	// granted means that a slot at the version was granted, or that a scheduler told so.
	granted source = iota
	// told means that the host that received the first event told so.
	told
	// own means that this host received the first event.
	own
)

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{current: make(map[uint64]entry), previous: make(map[uint64]entry)}
}

// Record records that a stream was begun by a version: begunHere if this host received its
// first event, otherwise by the endpoint that was assigned to it.
func (t *Table) Record(now time.Time, request, version string, begunHere bool) {
	e := entry{version: version, source: granted}
	if begunHere {
		e.source = own
	}
	t.put(now, xxhash.Sum64String(request), e)
}

// Lookup returns the version that began a stream, and whether it is known. A stream that is
// asked for is kept for another Retention.
func (t *Table) Lookup(now time.Time, request string) (version string, known bool) {
	t.rotate(now)
	id := xxhash.Sum64String(request)
	if e, found := t.current[id]; found {
		return e.version, true
	}
	e, found := t.previous[id]
	if found {
		t.put(now, id, e)
	}
	return e.version, found
}

// LookupOwn returns the version that began a stream of which this host received the first event.
func (t *Table) LookupOwn(now time.Time, request string) (version string, known bool) {
	t.rotate(now)
	id := xxhash.Sum64String(request)
	e, found := t.current[id]
	if !found {
		e, found = t.previous[id]
	}
	return e.version, found && e.source == own
}

// Merge adds streams of which a scheduler told.
func (t *Table) Merge(now time.Time, streams Streams) {
	t.merge(now, streams, granted)
}

// MergeBegun adds streams of which the host told that received their first events.
func (t *Table) MergeBegun(now time.Time, streams Streams) {
	t.merge(now, streams, told)
}

func (t *Table) merge(now time.Time, streams Streams, s source) {
	for version, ids := range streams {
		for len(ids) >= idBytes {
			t.put(now, binary.LittleEndian.Uint64(ids), entry{version: version, source: s})
			ids = ids[idBytes:]
		}
	}
}

// Own returns the streams of which this host received the first event.
func (t *Table) Own(now time.Time) Streams {
	t.rotate(now)
	out := make(Streams)
	for _, generation := range []map[uint64]entry{t.current, t.previous} {
		for id, e := range generation {
			if e.source == own {
				out.add(e.version, id)
			}
		}
	}
	return out
}

// All returns all streams.
func (t *Table) All(now time.Time) Streams {
	t.rotate(now)
	out := make(Streams)
	for _, generation := range []map[uint64]entry{t.current, t.previous} {
		for id, e := range generation {
			out.add(e.version, id)
		}
	}
	return out
}

func (t *Table) put(now time.Time, id uint64, e entry) {
	t.rotate(now)
	old, found := t.current[id]
	if !found {
		old, found = t.previous[id]
	}
	if found && old.source > e.source {
		return
	}
	t.current[id] = e
	delete(t.previous, id)
}

// rotate drops the streams of the previous Retention once the current one is over.
func (t *Table) rotate(now time.Time) {
	switch age := now.Sub(t.rotatedAt); {
	case age >= 2*Retention:
		t.current, t.previous = make(map[uint64]entry), make(map[uint64]entry)
	case age >= Retention, len(t.current) >= maxEntries:
		t.current, t.previous = make(map[uint64]entry), t.current
	default:
		return
	}
	t.rotatedAt = now
}

// idBytes is the length of a stream's id in Streams.
const idBytes = 8

// Streams are ids of streams by the version that began them, idBytes each: hashes, as the
// ids that clients choose are longer.
type Streams map[string][]byte

// Add adds a stream by the id of its request.
func (s Streams) Add(request, version string) {
	s.add(version, xxhash.Sum64String(request))
}

func (s Streams) add(version string, id uint64) {
	s[version] = binary.LittleEndian.AppendUint64(s[version], id)
}

// Batches splits the streams into parts of at most n each.
func (s Streams) Batches(n int) []Streams {
	var out []Streams
	for version, ids := range s {
		for part := range slices.Chunk(ids, n*idBytes) {
			out = append(out, Streams{version: part})
		}
	}
	return out
}
