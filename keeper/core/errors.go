package core

import "github.com/pkg/errors"

// Errors that end proposals; match them with errors.Is.
var (
	// ErrNotLeader means that the host does not lead the partition; the entries
	// had no effect and never will.
	ErrNotLeader = errors.New("host does not lead the partition")
	// ErrOutcomeUnknown means that the host lost its position in the stream before the
	// entries were read back, because the log was trimmed beyond it, or that the
	// host shut down before; the entries may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the entries is unknown")
	// ErrBusy means that the queue is full; the entries were rejected.
	ErrBusy = errors.New("partition's queue is full")
	// ErrNotEncodable means that the entries cannot be encoded.
	ErrNotEncodable = errors.New("entries do not encode")
)
