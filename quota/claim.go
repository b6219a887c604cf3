package quota

// Claim asks for one request of a workspace to be admitted within its quota. It carries the
// limits, so that the scheduler needs no configuration of its own to decide.
type Claim struct {
	Workspace string `json:"workspace"`
	// RequestsPerSecond and Burst are the workspace's limits on all hosts together.
	RequestsPerSecond float64 `json:"per_second"`
	Burst             float64 `json:"burst,omitempty"`
	// Version is that of the configuration that the limits come from: the newest one counts.
	Version int64 `json:"version"`
	// Fingerprint is the same for all attempts of a client at one request, or "" if unknown.
	Fingerprint string `json:"fingerprint,omitempty"`
}
