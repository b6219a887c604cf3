package publication

import (
	"encoding/json"

	"github.com/peridotmount/peridotmount/objects"
)

// Snapshot returns the state after the last record replayed; ok is false while
// records are missing.
func (r *Replica) Snapshot() (s Snapshot, ok bool) {
	if r.lost {
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

// Adopt applies the state of another reader that has replayed more, and tells
// whether it did. It never falls back.
//
// A change behind the snapshot may name chunks before it, which are not known
// here. The caller may read from chunkWindow before Next on to learn of them
// with Prime; otherwise such a change leaves the reader lost.
func (r *Replica) Adopt(s *Snapshot) bool {
	if s.Through < r.through || s.Revision < r.current.Number || s.Through == r.through && !r.lost {
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
	r.lost = false
	r.tail = nil
	clear(r.chunks)
	r.known = s.Through + 1
	return true
}

// Prime applies a record that the snapshot adopted last covers already, for
// the chunks that a later change may name.
func (r *Replica) Prime(offset int64, data []byte) {
	var record Record
	if offset > r.through || offset <= r.through-chunkWindow {
		return
	}
	r.known = min(r.known, offset)
	if json.Unmarshal(data, &record) != nil {
		return
	}
	if record.Chunk != nil && !record.Chunk.Refresh {
		r.chunks[offset] = data
	}
}

// recover adopts a refresh all of whose chunks and successors were read, and
// replays what lies behind it. The verdict is that of the last change.
func (r *Replica) recover(f *Refresh) Verdict {
	if f == nil || len(r.tail) == 0 || f.Through < r.through {
		return r.verdict("", Passed, nil)
	}
	s := f.Snapshot
	for _, at := range f.Chunks {
		i := at - r.tail[0].offset
		var record Record
		if i < 0 || i >= int64(len(r.tail)) || json.Unmarshal(r.tail[i].data, &record) != nil || record.Chunk == nil {
			return r.verdict("", Passed, nil)
		}
		s.Objects = append(s.Objects, record.Chunk.Put...)
	}
	tail := r.tail
	if !r.Adopt(&s) {
		return r.verdict("", Passed, nil)
	}
	last := r.verdict("", Applied, nil)
	for i := range tail {
		r.Prime(tail[i].offset, tail[i].data)
	}
	for i := range tail {
		if tail[i].offset <= s.Through {
			continue
		}
		if v := r.Apply(tail[i].offset, tail[i].data); v.Outcome == Applied {
			last = v
		}
	}
	return last
}
