package entry

// Headers of the system's own.
const (
	// HeaderRunState tells on every final answer whether the work ran.
	HeaderRunState = "Peridotmount-Run-State"
	// HeaderClass asks for an urgency class.
	HeaderClass = "Peridotmount-Class"
	// HeaderRequestID names the request.
	HeaderRequestID = "Peridotmount-Request-Id"
	// HeaderDeadline is the time in milliseconds in which an answer is of use.
	HeaderDeadline = "Peridotmount-Deadline-Ms"
	// HeaderIdempotencyKey makes a resent request the same request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRecording tells of a keyed answer whether it is durable: recorded
	// or pending.
	HeaderRecording   = "Peridotmount-Recording"
	headerRetryAfter  = "Retry-After"
	headerLastEventID = "Last-Event-ID"
)

// Values of HeaderRecording.
const (
	recordingDone    = "recorded"
	recordingPending = "pending"
)
