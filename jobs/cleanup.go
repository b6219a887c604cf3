package jobs

// Cleanup lists what the owner of the ledger's records writes and deletes. The parts are to be
// carried out in the order of the fields, each once the one before is in the store: a job may only
// be deleted once the rejections that its tokens caused are recorded.
type Cleanup struct {
	// Payloads are the keys of inputs and outputs to be deleted.
	Payloads []string
	// Rejections are to be written.
	Rejections []Record
	// Records are the keys of ledger records to be deleted, in this order.
	Records []string
}
