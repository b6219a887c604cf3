package keeper

import "github.com/pkg/errors"

// Errors of the keeper; callers match them with errors.Is.
var (
	// ErrNotLeader means that the called host does not currently lead the
	// partition.
	ErrNotLeader = errors.New("host does not lead the partition")
	// ErrNoLeader means that no leader of the partition was found or reached.
	ErrNoLeader = errors.New("partition has no leader now")
	// ErrNotFound means that the customer has no such job, file or request.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that the name or idempotency key was used before for a
	// request with another digest.
	ErrConflict = errors.New("identity was used for another request")
	// ErrUnavailable means that the log could not be read or written in time. An
	// entry that was to be appended may or may not be stored.
	ErrUnavailable = errors.New("ledger unavailable")
	// ErrInvalid means that no job can be created from the input file.
	ErrInvalid = errors.New("input is invalid")
	// ErrTrimmed means that the content was trimmed from the log.
	ErrTrimmed = errors.New("content is trimmed")
	// ErrBusy means that the partition's queue of proposals is full.
	ErrBusy = errors.New("partition is busy")
)
