package lease

// Action is what an Elector requests its driver to append.
type Action int

// Actions of an Elector.
const (
	// None requests nothing.
	None Action = iota
	// MakeClaim requests a claim that names the last valid record.
	MakeClaim
	// Renew requests a renewal under the epoch held.
	Renew
)

// NoCandidate is the rank of a host that must not claim.
const NoCandidate = -1
