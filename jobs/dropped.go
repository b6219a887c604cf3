package jobs

// Dropped are the keys of records that are not needed any more.
type Dropped struct {
	// Records are those of the ledger, Payloads those of inputs and outputs.
	Records, Payloads []string
}
