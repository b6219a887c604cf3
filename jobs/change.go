package jobs

// Change describes the effect of a record; it is the zero value if the record
// changed nothing.
type Change struct {
	// Attempt identifies the submission that Verdict applies to.
	Attempt string
	Verdict Verdict
	// Job is the job that the record names; nil if the job was not accepted.
	Job *Job
	// Item is the number of the item that Ended, or whose partial output is
	// Checkpointed.
	Item         int
	Ended        bool
	Checkpointed bool
	// Cancelled tells that the job's open items are not run any more.
	Cancelled bool
}
