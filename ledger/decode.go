package ledger

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Encode serializes the record. It returns an error that wraps ErrMalformed if the
// body of an item or result is not valid JSON.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return data, nil
}

// Decode parses and validates a record. Its errors wrap ErrMalformed.
func Decode(data []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if err := r.validate(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Record) validate() error {
	if r.Claim != nil {
		if r.Claim.Holder == "" || r.Release || len(r.Entries) > 0 {
			return errors.Wrap(ErrMalformed, "claim without holder, or with release or entries")
		}
		return nil
	}
	if r.Epoch < 0 || r.Seq < 1 || r.TimeMillis < 0 {
		return errors.Wrap(ErrMalformed, "epoch, sequence number or time out of range")
	}
	if r.Release && len(r.Entries) > 0 {
		return errors.Wrap(ErrMalformed, "release record has entries")
	}
	if len(r.Entries) > maxRecordEntries {
		return errors.Wrap(ErrMalformed, "too many entries")
	}
	for i := range r.Entries {
		if !r.Entries[i].valid() {
			return errors.Wrapf(ErrMalformed, "entry %d", i)
		}
	}
	return nil
}

// valid reports whether exactly one field besides CarriedFrom is set, with its
// required IDs present and its numbers in range.
func (e *Entry) valid() bool {
	members, ok := 0, true
	checkMember := func(set, valid bool) {
		if set {
			members++
			ok = ok && valid
		}
	}
	checkMember(e.FileChunk != nil, e.FileChunk != nil && e.FileChunk.File != "" && e.FileChunk.Index >= 0)
	checkMember(e.FileCommit != nil, e.FileCommit != nil && e.FileCommit.File != "" && e.FileCommit.Chunks >= 0)
	checkMember(e.FileDelete != nil, e.FileDelete != nil && e.FileDelete.File != "")
	checkMember(e.JobItems != nil, e.JobItems != nil && e.JobItems.valid())
	checkMember(e.JobCommit != nil, e.JobCommit != nil && e.JobCommit.Job != "" && e.JobCommit.Count >= 0)
	checkMember(e.JobAbandon != nil, e.JobAbandon != nil && e.JobAbandon.Job != "")
	checkMember(e.JobCancel != nil, e.JobCancel != nil && e.JobCancel.Job != "")
	checkMember(e.ItemStart != nil, e.ItemStart != nil && e.ItemStart.Index >= 0)
	checkMember(e.ItemAttempt != nil, e.ItemAttempt != nil && e.ItemAttempt.Index >= 0)
	checkMember(e.ItemDone != nil, e.ItemDone != nil && e.ItemDone.Index >= 0)
	checkMember(e.RequestStart != nil, e.RequestStart != nil && e.RequestStart.ID != "")
	checkMember(e.RequestDone != nil, e.RequestDone != nil && e.RequestDone.ID != "")
	checkMember(e.Snapshot != nil, e.Snapshot != nil && e.Snapshot.valid())
	return ok && members == 1 && (e.CarriedFrom == nil || *e.CarriedFrom >= 0)
}

func (c *JobItems) valid() bool {
	return c.Job != "" && c.First >= 0 && len(c.Items) > 0
}

func (c *SnapshotChunk) valid() bool {
	return c.ID != "" && c.At >= 0 && c.Index >= 0
}
