package blame

import "time"

// Answer reports that an endpoint has begun to answer, or has answered, a request with a
// key: requests with the key don't crash endpoints by it.
type Answer struct {
	Key Key `json:"key"`
	// Age is the time since then.
	Age time.Duration `json:"age,omitempty"`
}
