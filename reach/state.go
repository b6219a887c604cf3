package reach

// State is what a host believes of its links to the endpoints.
type State int

// States of a host's links.
const (
	// Connected means that the host reaches endpoints, or has not tried yet.
	Connected State = iota
	// Stranded means that the host reaches no endpoint.
	Stranded
	// Returning means that a stranded host reaches endpoints again, and sends them a growing
	// share of its calls.
	Returning
)

// String returns the name of the state in logs, metrics and records.
func (s State) String() string {
	return [...]string{"connected", "stranded", "returning"}[s]
}
