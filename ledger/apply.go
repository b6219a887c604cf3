package ledger

// Apply replays the record at offset. The state changes only if the result is Valid.
func (s *State) Apply(offset int64, r *Record) Verdict {
	if r.Claim != nil {
		return s.applyClaim(offset, r)
	}
	if !s.Lease.InForce(r.Epoch) {
		return IgnoredEpoch
	}
	if !s.Lease.Accept(r.Seq) {
		return IgnoredSequence
	}
	s.advanceTime(r.TimeMillis)
	if r.Release {
		s.Lease.Release(r.Epoch)
		return Valid
	}
	for i := range r.Entries {
		s.applyEntry(NewPlace(offset, i), &r.Entries[i])
	}
	return Valid
}

func (s *State) applyClaim(offset int64, r *Record) Verdict {
	if !s.Lease.Claim(offset, *r.Claim) {
		return IgnoredEpoch
	}
	// Only the leader that began an intake continues it.
	clear(s.intakes)
	s.advanceTime(r.TimeMillis)
	return Valid
}

func (s *State) applyEntry(at Place, e *Entry) {
	switch {
	case e.CarriedFrom != nil:
		s.applyCarried(at, *e.CarriedFrom, e)
	case e.FileChunk != nil:
		s.applyFileChunk(at, e.FileChunk)
	case e.FileCommit != nil:
		s.applyFileCommit(e.FileCommit)
	case e.FileDelete != nil:
		s.applyFileDelete(e.FileDelete)
	case e.JobItems != nil:
		s.applyJobItems(at, e.JobItems)
	case e.JobCommit != nil:
		s.applyJobCommit(e.JobCommit)
	case e.JobAbandon != nil:
		s.applyJobAbandon(e.JobAbandon)
	case e.JobCancel != nil:
		s.applyJobCancel(e.JobCancel)
	case e.ItemStart != nil:
		s.applyItemStart(e.ItemStart)
	case e.ItemAttempt != nil:
		s.applyItemAttempt(e.ItemAttempt)
	case e.ItemDone != nil:
		s.applyItemDone(at, e.ItemDone)
	case e.RequestStart != nil:
		s.applyRequestStart(e.RequestStart)
	case e.RequestDone != nil:
		s.applyRequestDone(at, e.RequestDone)
	case e.Snapshot != nil:
		s.applySnapshot(at.Offset(), e.Snapshot)
	}
}
