package publication

import "github.com/pkg/errors"

// Errors of publication, compared as values with errors.Is.
var (
	// ErrConflict means that a change is based on a revision that is not in force.
	ErrConflict = errors.New("change builds on another revision")
	// ErrMalformed means that a record could not be encoded or decoded.
	ErrMalformed = errors.New("malformed record")
	// ErrChunksMissing means that a change refers to chunks that do not exist or
	// lie outside its chunk window.
	ErrChunksMissing = errors.New("chunks of the change are missing")
	// ErrUnknown means that the outcome of a change could not be determined. It
	// is safe to publish the change again under the same ID.
	ErrUnknown = errors.New("outcome of the change is unknown")
	// ErrIncomplete means that no complete configuration is available: the log does
	// not hold one, the replica cannot know whether a chunk exists, or no other host
	// provided a snapshot.
	ErrIncomplete = errors.New("start of the configuration is trimmed and no refresh follows")
)
