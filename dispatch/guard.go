package dispatch

// Fingerprint identifies a request by customer, service and content. It is the same
// on every host and for every repetition of the request.
type Fingerprint uint64

// Verdict is a Guard's decision about where a request may run.
type Verdict int

// Verdicts of a Guard, from the least to the most restrictive.
const (
	// Unrestricted means the request may run on any endpoint.
	Unrestricted Verdict = iota
	// Exclusive means the request may run only on an endpoint that runs no other
	// request at the time.
	Exclusive
	// Quarantined means the request must not run.
	Quarantined
)

// Guard tracks which requests crash endpoints and restricts where they run.
type Guard interface {
	// Check returns the current verdict on a request whose prompt has the given parts,
	// which other requests may share.
	Check(f Fingerprint, parts []string) Verdict
	// Started records that a request starts at an endpoint.
	Started(f Fingerprint, endpoint string, incarnation int64)
	// Answered records that a request was answered completely by an endpoint.
	// It is called before Ended.
	Answered(f Fingerprint, endpoint string, incarnation int64)
	// Responding records that an endpoint sends the answer to a request with these parts.
	Responding(parts []string)
	// Crashed records that an endpoint died under a request with these parts, none if it
	// had sent too much of the answer for the request to be the cause. It is called before
	// Ended.
	Crashed(f Fingerprint, parts []string, endpoint string, incarnation int64)
	// Ended records that a request no longer runs at an endpoint; died means
	// that the endpoint died while running it.
	Ended(f Fingerprint, endpoint string, incarnation int64, died bool)
}
