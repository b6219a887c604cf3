package dispatch

// RunState is whether the work of a request ran.
type RunState string

// Run states of a finished request.
const (
	// NotRun means that no endpoint ran any part of the work.
	NotRun RunState = "not-run"
	// Completed means the work ran to its end.
	Completed RunState = "completed"
	// Unknown means that the work may have run, partly or completely.
	Unknown RunState = "unknown"
)
