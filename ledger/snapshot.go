package ledger

// SnapshotChunk is one chunk of an encoded State. Every reader derives the same state
// from the records before an offset, so a snapshot is correct whether or not its
// writer was the leader when it was written. The records from At on have to be
// replayed on top of it.
type SnapshotChunk struct {
	// ID identifies the snapshot that the chunk belongs to.
	ID string `json:"id"`
	// At is the offset of the first record that the snapshot does not hold.
	At int64 `json:"at"`
	// TrimOffset is the offset before which no record holds content that may still
	// be read, since such content was carried forward.
	TrimOffset int64 `json:"carried"`
	// Index is the position of the chunk in the snapshot, counted from 0.
	Index int `json:"index"`
	// Last is set in the last chunk of the snapshot.
	Last bool   `json:"last,omitempty"`
	Data []byte `json:"data"`
}

// snapshotTracker tracks the newest snapshots seen in the stream.
type snapshotTracker struct {
	// writingID, writingFirst and writingChunks are the ID, the offset of the first
	// chunk and the number of chunks of the snapshot that is being written.
	writingID     string
	writingFirst  int64
	writingChunks int
	// newestOffset is the offset of the first chunk of the newest complete
	// snapshot; trimOffset is the highest TrimOffset of the complete snapshots.
	newestOffset int64
	trimOffset   int64
	// ends are the complete snapshots whose At is above trimOffset, in the order in
	// which they were written, and always the newest one.
	ends []SnapshotEnd
}

// SnapshotEnd is the end offset of a complete snapshot and the time of its writing.
type SnapshotEnd struct {
	// At is the offset of the first record that the snapshot does not hold.
	At int64 `json:"at"`
	// Millis is the partition's time when the last chunk was applied, in
	// milliseconds since the Unix epoch.
	Millis int64 `json:"ms"`
}

func (s *State) applySnapshot(offset int64, c *SnapshotChunk) {
	tracker := &s.snapshots
	if c.Index == 0 {
		tracker.writingID, tracker.writingFirst, tracker.writingChunks = c.ID, offset, 0
	}
	if c.ID != tracker.writingID || c.Index != tracker.writingChunks {
		return
	}
	tracker.writingChunks++
	if c.Last {
		tracker.complete(c, s.Now)
	}
}

func (t *snapshotTracker) complete(c *SnapshotChunk, now int64) {
	t.writingID = ""
	t.newestOffset = t.writingFirst
	t.trimOffset = max(t.trimOffset, c.TrimOffset)
	var ends []SnapshotEnd
	for _, e := range t.ends {
		if e.At > t.trimOffset {
			ends = append(ends, e)
		}
	}
	t.ends = append(ends, SnapshotEnd{At: c.At, Millis: now})
}

// SnapshotOffset returns the offset of the first chunk of the newest complete
// snapshot, or 0 if there is none.
func (s *State) SnapshotOffset() int64 {
	return s.snapshots.newestOffset
}

// SnapshotMillis returns the time at which the newest complete snapshot was written,
// in milliseconds since the Unix epoch, or 0 if there is none.
func (s *State) SnapshotMillis() int64 {
	ends := s.snapshots.ends
	if len(ends) == 0 {
		return 0
	}
	return ends[len(ends)-1].Millis
}

// TrimOffset returns the offset before which no record holds content that may still
// be read: the log may be trimmed up to it.
func (s *State) TrimOffset() int64 {
	return s.snapshots.trimOffset
}

// SnapshotEndBefore returns the highest end offset of the complete snapshots that
// were written at or before millis, but at least TrimOffset.
func (s *State) SnapshotEndBefore(millis int64) int64 {
	end := s.snapshots.trimOffset
	for _, e := range s.snapshots.ends {
		if e.Millis <= millis {
			end = max(end, e.At)
		}
	}
	return end
}

// FirstMillis returns the time of the first valid record of the stream, in
// milliseconds since the Unix epoch, or 0 if there is none.
func (s *State) FirstMillis() int64 {
	return s.firstMillis
}
