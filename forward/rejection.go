package forward

import (
	"fmt"
	"time"
)

// Rejection is the error of a request that no endpoint ran.
type Rejection struct {
	// Reason is the reason, for the log, the metrics and the client.
	Reason string
	// RetryAfter is the time after which a retry is worthwhile; zero if not known.
	RetryAfter time.Duration
	// Inputs describes the data that the decision was based on, for the log; it may be
	// empty.
	Inputs string
	// Quota means that the client sends more than it may: the status is 429 instead of 503.
	Quota bool
}

// Error implements error.
func (r *Rejection) Error() string {
	return fmt.Sprintf("rejected: %s, retry after %s", r.Reason, r.RetryAfter)
}
