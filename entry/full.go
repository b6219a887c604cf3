package entry

import (
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/dispatch"
)

// fullRetryAfter is when a call to a full listener may come back.
const fullRetryAfter = time.Second

// RejectOverLimit answers a call on a connection that the host doesn't serve, since
// it serves as many as it may.
func RejectOverLimit(w http.ResponseWriter, r *http.Request) {
	failure := &APIError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeUnavailable,
		Type:       typeServer,
		Message:    "the host serves as many connections as it may",
		RunState:   dispatch.NotRun,
		RetryAfter: fullRetryAfter,
	}
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		failure = failure.forKey()
	}
	failure.write(w)
}
