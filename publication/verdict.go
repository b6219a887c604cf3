package publication

// Outcome is the outcome of replaying a record.
type Outcome string

// Outcomes of replaying a record.
const (
	// Applied means the change is in force.
	Applied Outcome = "applied"
	// Conflict means that the change is based on a revision that is not in force.
	Conflict Outcome = "conflict"
	// Invalid means that the resulting set failed validation.
	Invalid Outcome = "invalid"
	// Passed means that the record holds no change, or that the change could not
	// be judged because records are missing.
	Passed Outcome = "passed"
	// Malformed means that the record could not be decoded or its chunks are
	// missing.
	Malformed Outcome = "malformed"
)

// Verdict is the result of replaying one record.
type Verdict struct {
	ID      string
	Outcome Outcome
	// Revision is the revision in force after the record; if Repeated is set, the
	// revision that the change created.
	Revision int64
	// Winner is the publisher of the revision in force.
	Winner string
	// Repeated is set if the change had already been applied.
	Repeated bool
	// Refresh is the refresh that the record holds, or nil.
	Refresh *Refresh
	// Cause explains an outcome other than Applied.
	Cause error
}
