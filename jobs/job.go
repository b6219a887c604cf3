package jobs

import "slices"

// Job is an accepted batch job.
type Job struct {
	ID         string
	Submission Submission
	Cancelled  bool
	// Results is ordered by position, which is the order in which items ended.
	Results []Result

	progress []progress
	open     int
	// acceptedKey is the key of the accepted submission, and duplicateKeys those of its copies
	// and of later submissions of the job.
	acceptedKey   string
	duplicateKeys []string
	// recordKeys are the keys of the job's other ledger records; payloadKeys are the keys
	// of the records that hold its inputs and outputs.
	recordKeys, payloadKeys []string
}

// progress is the state of one item. Partial output is dropped when the item ends.
type progress struct {
	ended bool
	// failedRuns are the distinct names of the runs that failed.
	failedRuns []string
	partial    *Partial
}

// Items returns the metadata of the job's items.
func (j *Job) Items() []ItemMeta {
	return j.Submission.Items
}

// Input returns the payload that holds an item, and the item's index within it, or
// nil and 0 if there is none.
func (j *Job) Input(item int) (*Input, int) {
	for i := range j.Submission.Inputs {
		in := &j.Submission.Inputs[i]
		if item >= in.First && item < in.First+in.Count {
			return in, item - in.First
		}
	}
	return nil, 0
}

// Open returns the number of items without a result, or 0 if the job is cancelled.
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

// Failures returns the number of failed runs of an item.
func (j *Job) Failures(item int) int {
	return len(j.progress[item].failedRuns)
}

// Partial returns the partial output of earlier runs of an item, or nil.
func (j *Job) Partial(item int) *Partial {
	return j.progress[item].partial
}

// ItemByID returns the number of the item with an ID, or -1 if there is none.
func (j *Job) ItemByID(id string) int {
	for i := range j.Submission.Items {
		if j.Submission.Items[i].ID == id {
			return i
		}
	}
	return -1
}

// deletionOrder returns the keys of the job's ledger records. If only the first of them are
// deleted, a host that lists the rest either knows the job as before or does not know it.
func (j *Job) deletionOrder() []string {
	return slices.Concat(j.duplicateKeys, []string{j.acceptedKey}, j.recordKeys)
}

// hasItem reports whether the job has an item with this number.
func (j *Job) hasItem(item int) bool {
	return item >= 0 && item < len(j.Submission.Items)
}
