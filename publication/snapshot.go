package publication

import (
	"encoding/json"

	"github.com/peridotmount/peridotmount/objects"
)

// Snapshot returns the state after the last record replayed; ok is false while
// records are missing.
func (r *Replica) Snapshot() (s Snapshot, ok bool) {
	if r.incomplete {
		return Snapshot{}, false
	}
	return Snapshot{
		Revision:  r.current.Number,
		Publisher: r.current.Publisher,
		Through:   r.through,
		Recent:    append([]AppliedChange(nil), r.recent...),
		Objects:   r.current.Objects,
	}, true
}

// Adopt replaces the state by that of another reader that has replayed more, and
// reports whether it did. It never goes back to an older state.
//
// A change after the snapshot may refer to chunks before it, which this replica
// does not have. The caller may read the chunkWindow records before Next and pass
// them to Prime; otherwise such a change leaves the replica incomplete (see Incomplete).
func (r *Replica) Adopt(s *Snapshot) bool {
	if s.Through < r.through || s.Revision < r.current.Number || s.Through == r.through && !r.incomplete {
		return false
	}
	set, err := objects.Compile(s.Objects)
	if err != nil {
		return false
	}
	byRef := make(map[objects.Ref]objects.Object, len(s.Objects))
	for i := range s.Objects {
		byRef[s.Objects[i].Ref] = s.Objects[i]
	}
	r.byRef = byRef
	r.current = Revision{Number: s.Revision, Publisher: s.Publisher, Objects: s.Objects, Set: set}
	r.recent = append([]AppliedChange(nil), s.Recent...)
	r.through = s.Through
	r.incomplete = false
	r.unapplied = nil
	clear(r.chunks)
	r.chunksKnownFrom = s.Through + 1
	return true
}

// Prime takes a record that the last adopted snapshot already covers, and retains
// its chunk, to which a later change may refer.
func (r *Replica) Prime(offset int64, data []byte) {
	var record Record
	if offset > r.through || offset <= r.through-chunkWindow {
		return
	}
	r.chunksKnownFrom = min(r.chunksKnownFrom, offset)
	if json.Unmarshal(data, &record) != nil {
		return
	}
	if record.Chunk != nil && !record.Chunk.Refresh {
		r.chunks[offset] = data
	}
}

// recoverFromRefresh adopts a refresh if all of its chunks and all records after its
// state were read, and replays these records. The verdict is that of the last change
// applied.
func (r *Replica) recoverFromRefresh(refresh *Refresh) Verdict {
	if refresh == nil || len(r.unapplied) == 0 || refresh.Through < r.through {
		return r.verdict("", Passed, nil)
	}
	s := refresh.Snapshot
	for _, at := range refresh.Chunks {
		i := at - r.unapplied[0].offset
		var record Record
		if i < 0 || i >= int64(len(r.unapplied)) || json.Unmarshal(r.unapplied[i].data, &record) != nil || record.Chunk == nil {
			return r.verdict("", Passed, nil)
		}
		s.Objects = append(s.Objects, record.Chunk.Put...)
	}
	unapplied := r.unapplied
	if !r.Adopt(&s) {
		return r.verdict("", Passed, nil)
	}
	last := r.verdict("", Applied, nil)
	for i := range unapplied {
		r.Prime(unapplied[i].offset, unapplied[i].data)
	}
	for i := range unapplied {
		if unapplied[i].offset <= s.Through {
			continue
		}
		if v := r.Apply(unapplied[i].offset, unapplied[i].data); v.Outcome == Applied {
			last = v
		}
	}
	return last
}
