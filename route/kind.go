package route

// Kind tells what may be repeated of the requests on a route.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce requests may run once at most for each attempt of a client.
	AtMostOnce Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Streaming requests are answered by events. They are at-most-once unless
	// the route is resumable.
	Streaming
	// Batch routes take batch jobs.
	Batch
)

// String names the kind in logs and metrics.
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
