package ledger

// Replayer replays a stream record by record. If the records at its position were
// trimmed, it looks for a complete snapshot and resumes from there. Invariant:
// unless Seeking, State is the result of replaying all records before Next.
type Replayer struct {
	state   *State
	next    int64
	seeking bool
	// minReadable is the lowest offset that can still be read. A snapshot that ends
	// before it is discarded, because records after the snapshot are missing; a
	// late copy of its chunks may still be found after this offset.
	minReadable int64
	partial     map[string]*partialSnapshot
}

// partialSnapshot holds the chunks read so far of a snapshot.
type partialSnapshot struct {
	chunks int
	data   []byte
}

// NewReplayer returns a Replayer positioned at the beginning of a stream.
func NewReplayer() *Replayer {
	return &Replayer{state: NewState()}
}

// State returns the replayed state; it is not meaningful while Seeking.
func (p *Replayer) State() *State {
	return p.state
}

// Next returns the offset of the next record to apply.
func (p *Replayer) Next() int64 {
	return p.next
}

// Seeking reports whether the replayer is still looking for a snapshot.
func (p *Replayer) Seeking() bool {
	return p.seeking
}

// SeekSnapshot discards the state and makes the replayer look for a snapshot from
// offset on. Callers pass the trim horizon if Next lies before it, or the snapshot
// hint of a record; minReadable is the lowest offset that is known to be readable.
func (p *Replayer) SeekSnapshot(offset, minReadable int64) {
	p.minReadable = minReadable
	p.state = NewState()
	p.next = offset
	p.seeking = true
	p.partial = make(map[string]*partialSnapshot)
}

// Apply applies the record at offset; r is nil if the record does not decode. While
// Seeking, the result is IgnoredNoState for every record that decodes.
func (p *Replayer) Apply(offset int64, r *Record) Verdict {
	p.next = offset + 1
	if r == nil {
		return IgnoredMalformed
	}
	if !p.seeking {
		return p.state.Apply(offset, r)
	}
	for i := range r.Entries {
		if c := r.Entries[i].Snapshot; c != nil && p.addChunk(c) {
			break
		}
	}
	return IgnoredNoState
}

// addChunk adds a chunk to its snapshot and, if that completes the snapshot, restores
// the state from it. Next then moves back to the end offset of the snapshot, from
// which replay resumes. It reports whether the state was restored.
func (p *Replayer) addChunk(c *SnapshotChunk) bool {
	if c.At < p.minReadable {
		return false
	}
	snapshot := p.partial[c.ID]
	if snapshot == nil {
		snapshot = &partialSnapshot{}
		p.partial[c.ID] = snapshot
	}
	if c.Index != snapshot.chunks {
		return false
	}
	snapshot.chunks++
	snapshot.data = append(snapshot.data, c.Data...)
	if !c.Last {
		return false
	}
	s, err := DecodeState(snapshot.data)
	if err != nil {
		return false
	}
	p.state = s
	p.next = c.At
	p.seeking = false
	p.partial = nil
	return true
}
