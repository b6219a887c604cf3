package publication

import "github.com/peridotmount/peridotmount/objects"

// Stream is the log stream of configuration records.
const Stream = "configuration"

// NoRevision is the revision before the first change, and that change's base.
const NoRevision int64 = -1

// Record is one record of the configuration stream; exactly one field is set.
type Record struct {
	Change  *Change  `json:"change,omitempty"`
	Chunk   *Chunk   `json:"chunk,omitempty"`
	Refresh *Refresh `json:"refresh,omitempty"`
}

// Change turns one revision into the next.
type Change struct {
	// ID is unique to the change and makes publishing it idempotent.
	ID string `json:"id"`
	// Publisher names the user or process that publishes the change.
	Publisher string `json:"publisher"`
	// Base is the revision the change builds on.
	Base int64 `json:"base"`
	// Put holds the objects to add or replace.
	Put []objects.Object `json:"put,omitempty"`
	// Delete names the objects to delete.
	Delete []objects.Ref `json:"delete,omitempty"`
	// Chunks are the offsets of the records that hold further content of the
	// change. They must lie less than chunkWindow records before it.
	Chunks []int64 `json:"chunks,omitempty"`
}

// Chunk is a part of a change or refresh that exceeds one record. It has no
// effect until a change or refresh refers to it.
type Chunk struct {
	// ID and Index identify the chunk, so that its writer can find its offset.
	ID    string `json:"id"`
	Index int    `json:"index"`
	// Refresh is set if the chunk belongs to a refresh.
	Refresh bool             `json:"refresh,omitempty"`
	Put     []objects.Object `json:"put,omitempty"`
	Delete  []objects.Ref    `json:"delete,omitempty"`
}

// Refresh is a checkpoint in the stream: the state of a reader that has replayed
// it up to and including offset Through. It is for readers that start after the
// beginning of the stream was trimmed; they replay the records after Through on
// top of it.
type Refresh struct {
	Snapshot
	// Chunks are the offsets of the records that hold the objects.
	Chunks []int64 `json:"chunks"`
}

// Start returns the offset of the first record that a reader needs.
func (r *Refresh) Start() int64 {
	return r.Through + 1
}

// Snapshot is the state of a reader of the configuration stream.
type Snapshot struct {
	Revision  int64  `json:"revision"`
	Publisher string `json:"publisher"`
	// Through is the offset of the last record replayed.
	Through int64 `json:"through"`
	// Recent holds the most recently applied changes, oldest first.
	Recent []AppliedChange `json:"recent,omitempty"`
	// Objects is the complete set; a Refresh holds it in chunks instead.
	Objects []objects.Object `json:"objects,omitempty"`
}

// AppliedChange names a change that was applied.
type AppliedChange struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
}
