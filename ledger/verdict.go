package ledger

// Verdict is the outcome of replaying a record.
type Verdict int

// Outcomes of replaying a record.
const (
	// Valid means that the record was applied.
	Valid Verdict = iota
	// IgnoredEpoch means that the record was ignored: it was not written under the
	// epoch in force, or it is a claim that does not name the last valid record.
	IgnoredEpoch
	// IgnoredSequence means that the record was ignored because its sequence number
	// is not above the last one applied in the epoch, as in a copy of a record that
	// was already applied.
	IgnoredSequence
	// IgnoredMalformed means that the record was ignored because it does not decode.
	IgnoredMalformed
	// IgnoredNoState means that the record was not applied because the reader has no
	// state yet: it is still looking for a snapshot.
	IgnoredNoState
)
