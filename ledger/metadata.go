package ledger

// Metadata holds the key-value pairs that a customer attached to a job, unchanged.
type Metadata map[string]string
