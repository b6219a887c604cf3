package batch

import "github.com/pkg/errors"

// Errors of a write to the ledger, compared as values with errors.Is.
var (
	// ErrNotWritten means that the records are not in the ledger and never will be.
	ErrNotWritten = errors.New("ledger not written")
	// ErrUnknown means that the records may be in the ledger, or come later.
	ErrUnknown = errors.New("outcome of the write to the ledger is unknown")
	// ErrUnread means that an input or output can't be read from the store.
	ErrUnread = errors.New("payload not read")
)
