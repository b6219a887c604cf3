package entry

import "strconv"

// verdict is what is to be done with a keyed request.
type verdict int

// Verdicts on a keyed request.
const (
	// verdictRun means this host runs the request.
	verdictRun verdict = iota
	// verdictReplay means the recorded answer is given again.
	verdictReplay
	// verdictNextAttempt means the attempt was refused before it ran; another
	// may be started.
	verdictNextAttempt
	// verdictUnknown means the request was started elsewhere and may have run.
	verdictUnknown
)

// judge decides on a request by what the ledger says of it: whether this call
// made the start record, and the recorded end, if any. Invariant: a request
// that is not idempotent is run only by the maker of its start record.
func judge(idempotent, fresh bool, end *answer) verdict {
	switch {
	case end != nil && end.notRun():
		return verdictNextAttempt
	case end != nil:
		return verdictReplay
	case fresh, idempotent:
		return verdictRun
	default:
		return verdictUnknown
	}
}

// attemptKey returns the key under which the nth attempt of a request is kept.
// An attempt that ended as not run is closed for good, and the next has its own
// start record, so that at most one attempt ever runs. The first attempt has
// the caller's key, which never holds the separator.
func attemptKey(key string, n int) string {
	if n == 0 {
		return key
	}
	return key + attemptSeparator + strconv.Itoa(n)
}

const (
	attemptSeparator = "\x00"
	// maxAttempts bounds the attempts under one key that end as not run.
	maxAttempts = 32
)
