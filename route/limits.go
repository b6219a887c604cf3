package route

import "time"

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long a client may take to send its headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a client may keep a connection without a request.
	IdleTimeout time.Duration
}
