package jobs

// Dropped lists the keys of records that are no longer needed and can be deleted.
type Dropped struct {
	// Records are keys of ledger records; Payloads are keys of the records that
	// hold inputs and outputs.
	Records, Payloads []string
}
