package publication

import "github.com/peridotmount/peridotmount/objects"

// Stream is the log stream that carries changes.
const Stream = "configuration"

// NoRevision is the base of the first change.
const NoRevision int64 = -1

// Record is one record of the configuration stream; one field is set.
type Record struct {
	Change  *Change  `json:"change,omitempty"`
	Chunk   *Chunk   `json:"chunk,omitempty"`
	Refresh *Refresh `json:"refresh,omitempty"`
}

// Change turns one revision into the next.
type Change struct {
	// ID is unique to the change. A change that is published again under its ID
	// has no further effect.
	ID string `json:"id"`
	// Publisher names who publishes.
	Publisher string `json:"publisher"`
	// Base is the revision the change builds on.
	Base int64 `json:"base"`
	// Put holds the objects that are new or changed.
	Put []objects.Object `json:"put,omitempty"`
	// Delete names the objects that are gone.
	Delete []objects.Ref `json:"delete,omitempty"`
	// Chunks are the offsets of the records that hold more of the change. They
	// must lie less than chunkWindow records before it.
	Chunks []int64 `json:"chunks,omitempty"`
}

// Chunk is a part of a change or refresh that exceeds one record. It has no
// effect of its own.
type Chunk struct {
	// ID and Index let its writer find it again.
	ID    string `json:"id"`
	Index int    `json:"index"`
	// Refresh tells that the chunk belongs to a refresh.
	Refresh bool             `json:"refresh,omitempty"`
	Put     []objects.Object `json:"put,omitempty"`
	Delete  []objects.Ref    `json:"delete,omitempty"`
}

// Refresh is the state of a reader that has replayed the stream up to and with
// offset Through. It is for readers that no longer find the start of the
// stream; what lies behind Through is replayed on top of it.
type Refresh struct {
	Snapshot
	// Chunks are the offsets of the records that hold the objects.
	Chunks []int64 `json:"chunks"`
}

// Start returns the offset of the first record that a reader needs.
func (f *Refresh) Start() int64 {
	return f.Through + 1
}

// Snapshot is a state of the configuration.
type Snapshot struct {
	Revision  int64  `json:"revision"`
	Publisher string `json:"publisher"`
	// Through is the offset of the last record replayed.
	Through int64 `json:"through"`
	// Recent are the changes applied last, oldest first.
	Recent []AppliedChange `json:"recent,omitempty"`
	// Objects is the whole set; in a Refresh it is in chunks.
	Objects []objects.Object `json:"objects,omitempty"`
}

// AppliedChange names a change that was applied.
type AppliedChange struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
}
