package route

import "time"

// Limits bounds the size and duration of client requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time that a client takes to send the request headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a connection stays open without a request.
	IdleTimeout time.Duration
}
