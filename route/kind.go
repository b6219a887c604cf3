package route

// Kind determines how the requests of a route are served and whether they may be
// retried.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce requests run at most once each time a client sends them.
	AtMostOnce Kind = iota
	// Idempotent requests may be run any number of times.
	Idempotent
	// Streaming requests get an event stream as the response. They run at most once unless
	// the route is resumable.
	Streaming
	// Batch requests submit batch jobs.
	Batch
)

// String returns the name of the kind as used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	case Batch:
		return "batch"
	default:
		return "at-most-once"
	}
}
