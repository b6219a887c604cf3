package dispatch

import (
	"context"
	"time"
)

// ended reports whether a context has ended or its deadline has passed. On a busy machine the
// context's own timer may run later than those of the queues that the call waits in.
func ended(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	deadline, found := ctx.Deadline()
	return found && !time.Now().Before(deadline)
}
