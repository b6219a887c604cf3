package ledger

const (
	millisPerSecond = 1000
	// maxCountedAttempts is the value at which an item's attempt counter, a uint8,
	// saturates.
	maxCountedAttempts = 255
)

func (s *State) applyJobItems(at Place, c *JobItems) {
	if s.jobs[c.Job] != nil {
		return
	}
	key := intakeKey{job: c.Job, attempt: c.Attempt}
	in := s.intakes[key]
	if in == nil {
		in = &intake{}
	}
	if c.First != in.itemCount {
		return
	}
	s.intakes[key] = in
	in.chunks = append(in.chunks, chunkRef{at: at, first: c.First})
	in.itemCount += len(c.Items)
}

func (s *State) applyJobAbandon(c *JobAbandon) {
	delete(s.intakes, intakeKey{job: c.Job, attempt: c.Attempt})
}

func (s *State) applyJobCommit(c *JobCommit) {
	key := intakeKey{job: c.Job, attempt: c.Attempt}
	in := s.intakes[key]
	if in == nil || s.jobs[c.Job] != nil || c.Count != in.itemCount {
		return
	}
	delete(s.intakes, key)
	j := &Job{JobCommit: *c, Status: JobRunning, chunks: in.chunks, items: make([]itemProgress, c.Count)}
	s.jobs[c.Job] = j
	s.running[c.Job] = j
	s.openItems += j.Open()
	s.completeIfDone(j)
}

func (s *State) applyJobCancel(c *JobCancel) {
	j := s.jobs[c.Job]
	if j == nil || j.Status != JobRunning {
		return
	}
	s.openItems -= j.Open()
	s.endJob(j, JobCanceled)
}

// openItem returns a job and its item if the item may still change, otherwise nil.
// Entries for an item that has a result, or whose job ended, are ignored.
func (s *State) openItem(id string, index int) (*Job, *itemProgress) {
	j := s.running[id]
	if j == nil || index >= len(j.items) || j.items[index].state != ItemOpen {
		return nil, nil
	}
	return j, &j.items[index]
}

func (s *State) applyItemStart(c *ItemStart) {
	if _, item := s.openItem(c.Job, c.Index); item != nil {
		item.started = true
	}
}

func (s *State) applyItemAttempt(c *ItemAttempt) {
	if _, item := s.openItem(c.Job, c.Index); item != nil && item.attempts < maxCountedAttempts {
		item.attempts++
	}
}

// applyItemDone keeps the first result of an item. Later results are ignored, and so
// are all results after the job was cancelled.
func (s *State) applyItemDone(at Place, d *ItemDone) {
	j, item := s.openItem(d.Job, d.Index)
	if item == nil {
		return
	}
	item.at = at
	s.openItems--
	if d.Failed {
		item.state = ItemFailed
		j.Failed++
	} else {
		item.state = ItemCompleted
		j.Completed++
	}
	s.completeIfDone(j)
}

func (s *State) completeIfDone(j *Job) {
	if j.Open() == 0 {
		s.endJob(j, JobCompleted)
	}
}

func (s *State) endJob(j *Job, status JobStatus) {
	j.Status = status
	j.endedMillis = s.Now
	delete(s.running, j.Job)
}
