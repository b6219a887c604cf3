package ledger

// Entry is one change to a partition. Exactly one field other than CarriedFrom is
// set.
type Entry struct {
	// CarriedFrom is set in a copy of an earlier entry that was carried forward, that
	// is, rewritten at the end of the log so that the log before it can be trimmed.
	// It is the place of the entry that was copied. Such a copy changes only where
	// the content is read.
	CarriedFrom  *Place         `json:"from,omitempty"`
	FileChunk    *FileChunk     `json:"file_chunk,omitempty"`
	FileCommit   *FileCommit    `json:"file_commit,omitempty"`
	FileDelete   *FileDelete    `json:"file_delete,omitempty"`
	JobItems     *JobItems      `json:"job_items,omitempty"`
	JobCommit    *JobCommit     `json:"job_commit,omitempty"`
	JobAbandon   *JobAbandon    `json:"job_abandon,omitempty"`
	JobCancel    *JobCancel     `json:"job_cancel,omitempty"`
	ItemStart    *ItemStart     `json:"item_start,omitempty"`
	ItemAttempt  *ItemAttempt   `json:"item_try,omitempty"`
	ItemDone     *ItemDone      `json:"item_done,omitempty"`
	RequestStart *RequestStart  `json:"request_start,omitempty"`
	RequestDone  *RequestDone   `json:"request_done,omitempty"`
	Snapshot     *SnapshotChunk `json:"snapshot,omitempty"`
}

// entryOverheadBytes is the encoded size in bytes of the fixed parts of an entry,
// rounded up.
const entryOverheadBytes = 256

// Size returns an upper estimate of the encoded size of the entry in bytes.
func (e *Entry) Size() int {
	size := entryOverheadBytes
	switch {
	case e.FileChunk != nil:
		size += base64Size(len(e.FileChunk.Data))
	case e.Snapshot != nil:
		size += base64Size(len(e.Snapshot.Data))
	case e.JobItems != nil:
		for i := range e.JobItems.Items {
			size += itemOverheadBytes + len(e.JobItems.Items[i].Body) + len(e.JobItems.Items[i].CustomID)
		}
	case e.ItemDone != nil:
		size += len(e.ItemDone.Body)
	case e.RequestDone != nil:
		size += base64Size(len(e.RequestDone.Body))
	}
	return size
}

// itemOverheadBytes is the encoded size in bytes of the fixed parts of an item.
const itemOverheadBytes = 32

func base64Size(n int) int {
	return (n + 2) / 3 * 4
}
