package slots

import (
	"fmt"
	"time"

	"github.com/peridotmount/peridotmount/scheduler"
)

// RefusedError is the error of an ask that was turned away.
type RefusedError struct {
	Reason scheduler.Reason
	// RetryAfter is when it is worth to ask again.
	RetryAfter time.Duration
	// Scheduler is the host that decided, Load what it decided on.
	Scheduler string
	Load      scheduler.Load
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("slot refused by %s: %s (%s), retry after %s", e.Scheduler, e.Reason, e.Load, e.RetryAfter)
}
