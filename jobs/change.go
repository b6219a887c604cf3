package jobs

// Change is what a record changed; all parts are empty if it changed nothing.
type Change struct {
	// Attempt names the submission that got its Verdict.
	Attempt string
	Verdict Verdict
	// Job is the job that the record names; nil if it is not accepted.
	Job *Job
	// Item is the number of the item that Ended, or whose partial output is
	// Checkpointed.
	Item         int
	Ended        bool
	Checkpointed bool
	// Cancelled tells that the job's open items are not run any more.
	Cancelled bool
}
