package slots

import (
	"fmt"
	"time"

	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/scheduler"
)

// RefusedError reports that the scheduler refused a request for a slot.
type RefusedError struct {
	Reason scheduler.Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// Scheduler is the name of the host that refused, Load the load it based this on.
	Scheduler string
	Load      scheduler.Load
	// Quota tells of the workspace's quota, if that is the reason.
	Quota *quota.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("slot refused by %s: %s (%s), retry after %s", e.Scheduler, e.Reason, e.Load, e.RetryAfter)
}
