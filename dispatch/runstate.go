package dispatch

// RunState reports whether a request's work ran.
type RunState string

// Run states of a finished request.
const (
	// NotRun means no endpoint did any of the work.
	NotRun RunState = "not-run"
	// Completed means the work ran to its end.
	Completed RunState = "completed"
	// Unknown means the work may have run, in part or whole.
	Unknown RunState = "unknown"
)
