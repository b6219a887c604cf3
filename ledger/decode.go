package ledger

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Encode returns the record's bytes. It returns ErrMalformed for a body that
// is not JSON.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return data, nil
}

// Decode reads and checks a record. The error is ErrMalformed.
func Decode(data []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Record) check() error {
	if r.Claim != nil {
		if r.Claim.Holder == "" || r.Release || len(r.Entries) > 0 {
			return errors.Wrap(ErrMalformed, "claim")
		}
		return nil
	}
	if r.Epoch < 0 || r.Seq < 1 || r.TimeMillis < 0 {
		return errors.Wrap(ErrMalformed, "epoch, sequence or time")
	}
	if r.Release && len(r.Entries) > 0 {
		return errors.Wrap(ErrMalformed, "release with entries")
	}
	if len(r.Entries) > maxEntries {
		return errors.Wrap(ErrMalformed, "too many entries")
	}
	for i := range r.Entries {
		if !r.Entries[i].valid() {
			return errors.Wrapf(ErrMalformed, "entry %d", i)
		}
	}
	return nil
}

// valid reports whether exactly one member is set and its numbers are in range.
func (e *Entry) valid() bool {
	members, ok := 0, true
	member := func(set, valid bool) {
		if set {
			members++
			ok = ok && valid
		}
	}
	member(e.FileChunk != nil, e.FileChunk != nil && e.FileChunk.File != "" && e.FileChunk.Index >= 0)
	member(e.FileCommit != nil, e.FileCommit != nil && e.FileCommit.File != "" && e.FileCommit.Chunks >= 0)
	member(e.FileDelete != nil, e.FileDelete != nil && e.FileDelete.File != "")
	member(e.JobItems != nil, e.JobItems != nil && e.JobItems.valid())
	member(e.JobCommit != nil, e.JobCommit != nil && e.JobCommit.Job != "" && e.JobCommit.Count >= 0)
	member(e.JobAbandon != nil, e.JobAbandon != nil && e.JobAbandon.Job != "")
	member(e.JobCancel != nil, e.JobCancel != nil && e.JobCancel.Job != "")
	member(e.ItemStart != nil, e.ItemStart != nil && e.ItemStart.Index >= 0)
	member(e.ItemTry != nil, e.ItemTry != nil && e.ItemTry.Index >= 0)
	member(e.ItemDone != nil, e.ItemDone != nil && e.ItemDone.Index >= 0)
	member(e.RequestStart != nil, e.RequestStart != nil && e.RequestStart.ID != "")
	member(e.RequestDone != nil, e.RequestDone != nil && e.RequestDone.ID != "")
	member(e.Snapshot != nil, e.Snapshot != nil && e.Snapshot.valid())
	return ok && members == 1 && (e.From == nil || *e.From >= 0)
}

func (c *JobItems) valid() bool {
	return c.Job != "" && c.First >= 0 && len(c.Items) > 0
}

func (c *SnapshotChunk) valid() bool {
	return c.ID != "" && c.At >= 0 && c.Index >= 0
}
