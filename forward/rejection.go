package forward

import (
	"fmt"
	"time"
)

// Rejection is the error of a request that no endpoint was asked to run.
type Rejection struct {
	// Reason says why, for the log and the client.
	Reason string
	// RetryAfter is when it is worth to come back; zero if that is not known.
	RetryAfter time.Duration
	// Inputs are what the decision rested on, for the log; "" if there are none.
	Inputs string
}

// Error implements error.
func (r *Rejection) Error() string {
	return fmt.Sprintf("rejected: %s, retry after %s", r.Reason, r.RetryAfter)
}
