package publication

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/objects"
)

// maxRecent bounds the applied changes whose IDs are retained to detect duplicates.
const maxRecent = 256

// Replica replays the configuration stream. It does no I/O and is not safe for
// concurrent use. Invariants: the revision's number never decreases, and two
// Replicas that have replayed the same prefix have the same revision.
type Replica struct {
	current Revision
	byRef   map[objects.Ref]objects.Object
	recent  []AppliedChange
	// through is the offset of the last record replayed or, while records are
	// missing, the lowest offset that an adopted state must cover.
	through int64
	// chunks holds the encoded records of recent chunks by offset.
	chunks map[int64][]byte
	// chunksKnownFrom is the offset from which on all chunks are known.
	chunksKnownFrom int64
	// incomplete is set while records are missing; unapplied holds the records
	// read since.
	incomplete bool
	unapplied  []unappliedRecord
}

type unappliedRecord struct {
	offset int64
	data   []byte
}

// NewReplica returns a Replica with an empty set in force.
func NewReplica() *Replica {
	set, _ := objects.Compile(nil)
	return &Replica{
		current: Revision{Number: NoRevision, Set: set},
		byRef:   make(map[objects.Ref]objects.Object),
		through: NoRevision,
		chunks:  make(map[int64][]byte),
	}
}

// Current returns the revision in force.
func (r *Replica) Current() Revision {
	return r.current
}

// Next returns the offset of the next record to read.
func (r *Replica) Next() int64 {
	if n := len(r.unapplied); n > 0 {
		return r.unapplied[n-1].offset + 1
	}
	return r.through + 1
}

// Incomplete reports whether records are missing. The revision stays in force until a
// refresh or another host's snapshot provides a newer one.
func (r *Replica) Incomplete() bool {
	return r.incomplete
}

// MarkTrimmed records that the records before horizon were trimmed.
func (r *Replica) MarkTrimmed(horizon int64) {
	if r.Next() >= horizon {
		return
	}
	r.incomplete = true
	r.unapplied = nil
	r.through = max(r.through, horizon-1)
}

// Apply replays the record at offset; offsets must be consecutive.
func (r *Replica) Apply(offset int64, data []byte) Verdict {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		r.advance(offset, data)
		return r.verdict("", Malformed, errors.Wrap(ErrMalformed, err.Error()))
	}
	if r.incomplete {
		r.unapplied = append(r.unapplied, unappliedRecord{offset: offset, data: data})
		return r.recoverFromRefresh(record.Refresh)
	}
	r.advance(offset, data)
	switch {
	case record.Chunk != nil:
		if !record.Chunk.Refresh {
			r.chunks[offset] = data
		}
		return r.verdict("", Passed, nil)
	case record.Change != nil:
		return r.applyChange(offset, data, record.Change)
	default:
		v := r.verdict("", Passed, nil)
		v.Refresh = record.Refresh
		return v
	}
}

// advance moves past the record at offset and drops the chunk that leaves the window.
// While records are missing, it queues the record instead.
func (r *Replica) advance(offset int64, data []byte) {
	if r.incomplete {
		r.unapplied = append(r.unapplied, unappliedRecord{offset: offset, data: data})
		return
	}
	r.through = offset
	delete(r.chunks, offset-chunkWindow)
}

func (r *Replica) applyChange(offset int64, data []byte, c *Change) Verdict {
	if revision, found := r.appliedRevision(c.ID); found {
		v := r.verdict(c.ID, Applied, nil)
		v.Revision = revision
		v.Repeated = true
		return v
	}
	if c.Base != r.current.Number {
		return r.verdict(c.ID, Conflict, errors.Wrapf(ErrConflict, "base %d, in force %d", c.Base, r.current.Number))
	}
	err := r.loadChunks(offset, c)
	if errors.Is(err, ErrIncomplete) {
		r.incomplete = true
		r.unapplied = []unappliedRecord{{offset: offset, data: data}}
		return r.verdict(c.ID, Passed, err)
	}
	if err != nil {
		return r.verdict(c.ID, Malformed, err)
	}
	next := merge(r.byRef, c)
	list := sortedObjects(next)
	set, err := objects.Compile(list)
	if err != nil {
		return r.verdict(c.ID, Invalid, err)
	}
	r.byRef = next
	r.current = Revision{Number: offset, Publisher: c.Publisher, Objects: list, Set: set}
	r.recordApplied(AppliedChange{ID: c.ID, Revision: offset})
	return r.verdict(c.ID, Applied, nil)
}

// loadChunks adds the content of its chunks to a change. Which chunks are valid is the
// same for all readers, so that all reach the same verdict. It returns ErrIncomplete if
// this replica cannot know whether a chunk exists.
func (r *Replica) loadChunks(offset int64, c *Change) error {
	for _, at := range c.Chunks {
		var record Record
		data := r.chunks[at]
		if at <= offset-chunkWindow || data == nil && at >= r.chunksKnownFrom {
			return errors.Wrapf(ErrChunksMissing, "offset %d", at)
		}
		if data == nil {
			return errors.Wrapf(ErrIncomplete, "chunk at offset %d", at)
		}
		if err := json.Unmarshal(data, &record); err != nil {
			return errors.Wrap(ErrMalformed, err.Error())
		}
		c.Put = append(c.Put, record.Chunk.Put...)
		c.Delete = append(c.Delete, record.Chunk.Delete...)
	}
	return nil
}

// Find returns the verdict of a change among the maxRecent applied last.
func (r *Replica) Find(id string) (Verdict, bool) {
	revision, found := r.appliedRevision(id)
	v := r.verdict(id, Applied, nil)
	v.Revision = revision
	return v, found
}

func (r *Replica) appliedRevision(id string) (int64, bool) {
	for i := range r.recent {
		if r.recent[i].ID == id {
			return r.recent[i].Revision, true
		}
	}
	return NoRevision, false
}

func (r *Replica) recordApplied(a AppliedChange) {
	if len(r.recent) >= maxRecent {
		r.recent = append([]AppliedChange(nil), r.recent[1:]...)
	}
	r.recent = append(r.recent, a)
}

func (r *Replica) verdict(id string, outcome Outcome, cause error) Verdict {
	return Verdict{
		ID:       id,
		Outcome:  outcome,
		Revision: r.current.Number,
		Winner:   r.current.Publisher,
		Cause:    cause,
	}
}

func merge(base map[objects.Ref]objects.Object, c *Change) map[objects.Ref]objects.Object {
	next := make(map[objects.Ref]objects.Object, len(base)+len(c.Put))
	for ref, o := range base {
		next[ref] = o
	}
	for _, ref := range c.Delete {
		delete(next, ref)
	}
	for _, o := range c.Put {
		next[o.Ref] = o
	}
	return next
}

func sortedObjects(byRef map[objects.Ref]objects.Object) []objects.Object {
	list := make([]objects.Object, 0, len(byRef))
	for _, o := range byRef {
		list = append(list, o)
	}
	objects.Sort(list)
	return list
}
