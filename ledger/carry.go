package ledger

import "sort"

// applyCarried moves the place of content that was carried forward to at. The entry
// is ignored unless from is still the current place of the content.
func (s *State) applyCarried(at, from Place, e *Entry) {
	if place := s.contentPlace(e); place != nil && *place == from {
		*place = at
	}
}

// contentPlace returns a pointer to the place that the state holds for an entry's
// content, or nil if the content is no longer needed.
func (s *State) contentPlace(e *Entry) *Place {
	switch {
	case e.FileChunk != nil:
		return s.fileChunkPlace(e.FileChunk)
	case e.JobItems != nil:
		return s.jobItemsPlace(e.JobItems)
	case e.ItemDone != nil:
		return s.itemResultPlace(e.ItemDone)
	case e.RequestDone != nil:
		if r := s.requests[e.RequestDone.ID]; r != nil && r.Done {
			return &r.Place
		}
	}
	return nil
}

func (s *State) fileChunkPlace(c *FileChunk) *Place {
	f := s.files[c.File]
	if f == nil || c.Index >= len(f.Places) {
		return nil
	}
	return &f.Places[c.Index]
}

func (s *State) jobItemsPlace(c *JobItems) *Place {
	j := s.jobs[c.Job]
	if j == nil || j.Attempt != c.Attempt || c.First >= j.Count {
		return nil
	}
	chunk := j.chunkOf(c.First)
	if j.chunks[chunk].first != c.First || !j.chunkNeeded(chunk) {
		return nil
	}
	return &j.chunks[chunk].at
}

func (s *State) itemResultPlace(d *ItemDone) *Place {
	j := s.jobs[d.Job]
	if j == nil || d.Index >= len(j.items) {
		return nil
	}
	item := &j.items[d.Index]
	if item.state == ItemOpen {
		return nil
	}
	return &item.at
}

// LiveEntries returns copies of those entries of the record at offset that are the
// current place of content that may still be read, with CarriedFrom set so that they
// can be carried forward.
func (s *State) LiveEntries(offset int64, r *Record) []Entry {
	var out []Entry
	for i := range r.Entries {
		e := r.Entries[i]
		at := NewPlace(offset, i)
		if place := s.contentPlace(&e); place != nil && *place == at {
			e.CarriedFrom = &at
			out = append(out, e)
		}
	}
	return out
}

// LiveOffsetsBefore returns the offsets, in ascending order and below limit, of the
// records whose content may still be read.
func (s *State) LiveOffsetsBefore(limit int64) []int64 {
	offsets := make(map[int64]struct{})
	add := func(at Place) {
		if at.Offset() < limit {
			offsets[at.Offset()] = struct{}{}
		}
	}
	for _, f := range s.files {
		for _, at := range f.Places {
			add(at)
		}
	}
	for _, j := range s.jobs {
		j.visitLive(add)
	}
	for _, r := range s.requests {
		if r.Done {
			add(r.Place)
		}
	}
	out := make([]int64, 0, len(offsets))
	for offset := range offsets {
		out = append(out, offset)
	}
	sort.Slice(out, func(i, k int) bool { return out[i] < out[k] })
	return out
}

// visitLive calls visit for every place of the job whose content may still be read.
func (j *Job) visitLive(visit func(Place)) {
	for i := range j.chunks {
		if j.chunkNeeded(i) {
			visit(j.chunks[i].at)
		}
	}
	for i := range j.items {
		if j.items[i].state != ItemOpen {
			visit(j.items[i].at)
		}
	}
}
