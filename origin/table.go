package origin

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long a stream's version is kept at least after it began. Callers take
	// streams up again within their deadlines, which are shorter.
	Retention = 20 * time.Second
	// maxEntries bounds the streams of a Retention, of which each takes about 100 bytes.
	maxEntries = 1 << 17
)

// Table holds the versions that began streams, by the id of the client's request that brought
// the first event. It is not safe for concurrent use.
//
// Invariants: an entry stems from a first event that a host received, never from what was to
// happen; what this host saw itself is replaced by nothing that others tell; a stream stands in
// one of the two generations only.
type Table struct {
	// current and previous hold the streams of the current and the previous Retention.
	current, previous map[uint64]entry
	rotatedAt         time.Time
}

// entry is the version that began a stream.
type entry struct {
	version string
	source  Source
	// from is the host that told; empty if this one saw it itself.
	from string
	// at is when the first event arrived, or the stream was last taken up, by the clock of the calls.
	at time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{current: make(map[uint64]entry), previous: make(map[uint64]entry)}
}

// Record records that this host received the first event of a stream, from an endpoint of a
// version.
func (t *Table) Record(now time.Time, request, version string) {
	t.put(now, xxhash.Sum64String(request), entry{version: version, source: Own, at: now})
}

// Lookup returns what is known of the beginning of a stream, and whether its version is. A
// stream that is asked for is kept for another Retention.
func (t *Table) Lookup(now time.Time, request string) (b Beginning, known bool) {
	t.rotate(now)
	id := xxhash.Sum64String(request)
	e, known := t.find(now, id)
	if !known {
		return Beginning{}, false
	}
	age := now.Sub(e.at)
	e.at = now
	t.put(now, id, e)
	return Beginning{Version: e.version, Source: e.source, From: e.from, Age: age}, true
}

// LookupOwn returns the beginning of a stream of which this host received the first event.
func (t *Table) LookupOwn(now time.Time, request string) (b Beginning, known bool) {
	b, known = t.Lookup(now, request)
	return b, known && b.Source == Own
}

// Merge adds streams of which another host told, and returns those that were not known.
func (t *Table) Merge(now time.Time, from string, told Batch) Batch {
	t.rotate(now)
	added := Batch{Age: told.Age, Streams: make(Streams)}
	for version, ids := range told.Streams {
		for len(ids) >= idBytes {
			id := binary.LittleEndian.Uint64(ids)
			if _, known := t.find(now, id); !known {
				t.put(now, id, entry{version: version, source: Told, from: from, at: now.Add(-told.Age)})
				added.Streams.add(version, id)
			}
			ids = ids[idBytes:]
		}
	}
	return added
}

// All returns the streams that may be taken up again, by their age. Older ones would be told to and fro
// for ever.
func (t *Table) All(now time.Time) []Batch {
	t.rotate(now)
	out := make(batches)
	for _, generation := range []map[uint64]entry{t.current, t.previous} {
		for id, e := range generation {
			out.add(now.Sub(e.at), e.version, id)
		}
	}
	return out.sorted()
}

// find returns the entry of a stream that may be taken up again.
func (t *Table) find(now time.Time, id uint64) (e entry, known bool) {
	if e, known = t.current[id]; !known {
		e, known = t.previous[id]
	}
	return e, known && now.Sub(e.at) < maxAge
}

// put puts an entry in the current generation.
func (t *Table) put(now time.Time, id uint64, e entry) {
	t.rotate(now)
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
