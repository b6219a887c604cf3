package ledger

// JobItems is a chunk of items of a job that is not committed yet.
type JobItems struct {
	Job string `json:"job"`
	// Attempt identifies the intake, one attempt to copy the items of a job from its
	// input file into the ledger. Chunks of different attempts are never combined.
	Attempt string `json:"attempt"`
	// First is the index of the first item in the job, counted from 0.
	First int    `json:"first"`
	Items []Item `json:"items"`
}

// JobAbandon discards an intake that will not be committed.
type JobAbandon struct {
	Job     string `json:"job"`
	Attempt string `json:"attempt"`
}

// intakeKey identifies an intake.
type intakeKey struct {
	job     string
	attempt string
}

// intake holds the items recorded so far for a job that is not committed yet. Only
// the leader that began an intake continues it, so a new epoch discards it.
type intake struct {
	chunks    []chunkRef
	itemCount int
}
