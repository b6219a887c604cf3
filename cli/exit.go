package cli

import (
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/settings"
)

// Exit codes of the operators' command line; 0 means success.
const (
	// ExitFailure means that something not named below went wrong, or that there are warnings.
	ExitFailure = 1
	// ExitInvalid means that the set of objects, or the daemon's settings, have
	// faults.
	ExitInvalid = 2
	// ExitConflict means that another change was published first.
	ExitConflict = 3
	// ExitTimeout means that the wait ended too early.
	ExitTimeout = 4
	// ExitPartial means that some hosts didn't answer; what the others said
	// has been written.
	ExitPartial = 5
	// ExitUnreadable means that a configuration to check or to compare with can't be read.
	ExitUnreadable = 6
	// ExitUsage means that the command line is not valid.
	ExitUsage = 64
)

// exitHelp documents the exit codes on the command line.
const exitHelp = `Exit codes:
  0   success
  1   failure
  2   the set of objects, or the configuration, has faults
  3   another change was published first
  4   the wait ended before the change was in force
  5   some hosts did not answer; what the others said was written
  6   a configuration to check or to compare with can't be read
  64  the command line is not valid`

// Errors that select an exit code, compared as values with errors.Is.
var (
	// ErrInvalid means the set of objects has faults.
	ErrInvalid = errors.New("set of objects is not valid")
	// ErrConflict means another change was published first.
	ErrConflict = errors.New("another change was published first")
	// ErrTimeout means the wait ended before the change was in force.
	ErrTimeout = errors.New("not in force on all hosts in time")
	// ErrPartial means some hosts didn't answer.
	ErrPartial = errors.New("hosts did not answer")
	// ErrConfiguration means a configuration has errors, which were written.
	ErrConfiguration = errors.New("configuration has errors")
	// ErrWarnings means a configuration has warnings, which were written and may not be ignored.
	ErrWarnings = errors.New("configuration has warnings")
	// ErrUnreadable means an input can't be read.
	ErrUnreadable = errors.New("input can't be read")
	// ErrUsage means the command line is not valid.
	ErrUsage = errors.New("command line is not valid")
)

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ErrInvalid), errors.Is(err, ErrConfiguration), errors.Is(err, settings.ErrInvalid):
		return ExitInvalid
	case errors.Is(err, ErrConflict):
		return ExitConflict
	case errors.Is(err, ErrTimeout):
		return ExitTimeout
	case errors.Is(err, ErrPartial):
		return ExitPartial
	case errors.Is(err, ErrUnreadable):
		return ExitUnreadable
	case errors.Is(err, ErrUsage):
		return ExitUsage
	default:
		return ExitFailure
	}
}
