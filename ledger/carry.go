package ledger

import "sort"

// applyCarried applies the new place of content that was carried forward. It
// is void unless the content still lies where the entry says.
func (s *State) applyCarried(at, from Place, e *Entry) {
	if place := s.place(e); place != nil && *place == from {
		*place = at
	}
}

// place returns the place by which the state knows an entry's content, or nil
// if the content is not needed any more.
func (s *State) place(e *Entry) *Place {
	switch {
	case e.FileChunk != nil:
		return s.placeOfChunk(e.FileChunk)
	case e.JobItems != nil:
		return s.placeOfItems(e.JobItems)
	case e.ItemDone != nil:
		return s.placeOfResult(e.ItemDone)
	case e.RequestDone != nil:
		if r := s.requests[e.RequestDone.ID]; r != nil && r.Done {
			return &r.Place
		}
	}
	return nil
}

func (s *State) placeOfChunk(c *FileChunk) *Place {
	f := s.files[c.File]
	if f == nil || c.Index >= len(f.Places) {
		return nil
	}
	return &f.Places[c.Index]
}

func (s *State) placeOfItems(c *JobItems) *Place {
	j := s.jobs[c.Job]
	if j == nil || j.Attempt != c.Attempt || c.First >= j.Count {
		return nil
	}
	chunk := j.chunkOf(c.First)
	if j.chunks[chunk].first != c.First || !j.wants(chunk) {
		return nil
	}
	return &j.chunks[chunk].at
}

func (s *State) placeOfResult(d *ItemDone) *Place {
	j := s.jobs[d.Job]
	if j == nil || d.Index >= len(j.items) {
		return nil
	}
	slot := &j.items[d.Index]
	if slot.state == ItemOpen {
		return nil
	}
	return &slot.at
}

// Live returns copies, marked as carried, of the entries of the record at
// offset whose content is still read there.
func (s *State) Live(offset int64, r *Record) []Entry {
	var out []Entry
	for i := range r.Entries {
		e := r.Entries[i]
		at := NewPlace(offset, i)
		if place := s.place(&e); place != nil && *place == at {
			e.From = &at
			out = append(out, e)
		}
	}
	return out
}

// LiveBefore returns the offsets below limit, in order, of the records that
// hold content which may still be read.
func (s *State) LiveBefore(limit int64) []int64 {
	found := make(map[int64]struct{})
	note := func(at Place) {
		if at.Offset() < limit {
			found[at.Offset()] = struct{}{}
		}
	}
	for _, f := range s.files {
		for _, at := range f.Places {
			note(at)
		}
	}
	for _, j := range s.jobs {
		j.live(note)
	}
	for _, r := range s.requests {
		if r.Done {
			note(r.Place)
		}
	}
	out := make([]int64, 0, len(found))
	for offset := range found {
		out = append(out, offset)
	}
	sort.Slice(out, func(i, k int) bool { return out[i] < out[k] })
	return out
}

func (j *Job) live(note func(Place)) {
	for i := range j.chunks {
		if j.wants(i) {
			note(j.chunks[i].at)
		}
	}
	for i := range j.items {
		if j.items[i].state != ItemOpen {
			note(j.items[i].at)
		}
	}
}
