package jobs

// Job is an accepted batch job.
type Job struct {
	ID         string
	Submission Submission
	Cancelled  bool
	// Results are in the order of their positions.
	Results []Result

	progress []progress
	open     int
	// keys are those of the job's records in the ledger, payloads those of the
	// records that hold its inputs and outputs.
	keys, payloads []string
}

// progress is what is known of an item that has no result.
type progress struct {
	ended bool
	// failed are the runs that failed.
	failed  []string
	partial *Partial
}

// Items returns what every host knows of the job's items.
func (j *Job) Items() []ItemMeta {
	return j.Submission.Items
}

// Input returns the payload that holds an item, and the item's number in it.
func (j *Job) Input(item int) (*Input, int) {
	for i := range j.Submission.Inputs {
		in := &j.Submission.Inputs[i]
		if item >= in.First && item < in.First+in.Count {
			return in, item - in.First
		}
	}
	return nil, 0
}

// Open returns the number of items without a result, none if the job is cancelled.
func (j *Job) Open() int {
	if j.Cancelled {
		return 0
	}
	return j.open
}

// Ended reports whether an item has a result.
func (j *Job) Ended(item int) bool {
	return j.progress[item].ended
}

// Failures returns how many runs of an item failed.
func (j *Job) Failures(item int) int {
	return len(j.progress[item].failed)
}

// Partial returns what an earlier run of an item left, or nil.
func (j *Job) Partial(item int) *Partial {
	return j.progress[item].partial
}

// ItemByID returns the number of an item, or -1.
func (j *Job) ItemByID(id string) int {
	for i := range j.Submission.Items {
		if j.Submission.Items[i].ID == id {
			return i
		}
	}
	return -1
}

// has reports whether the job has an item with this number.
func (j *Job) has(item int) bool {
	return item >= 0 && item < len(j.Submission.Items)
}
