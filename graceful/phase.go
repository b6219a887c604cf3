package graceful

// phase is what a connection is used for. Its value appears in the log and the metrics.
type phase string

const (
	// awaiting connections have no request: they are new, or the last one was answered.
	awaiting phase = "awaiting"
	// receiving connections have begun to receive a request that no handler serves yet.
	receiving phase = "receiving"
	// serving connections have a request that a handler serves.
	serving phase = "serving"
	// answering connections have a request to which a part of the response was written.
	answering phase = "answering"
	// ending connections were half-closed by this host while they awaited a request.
	ending phase = "ending"
)
