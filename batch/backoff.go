package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// backoff spaces the tries of an append.
type backoff struct{ pause time.Duration }

func newBackoff() *backoff { return &backoff{pause: firstRetry} }

// wait pauses before the next try. It reports false if there is none: ctx ended,
// or what was to be written was seen.
func (b *backoff) wait(ctx context.Context, seen <-chan struct{}) bool {
	t := time.NewTimer(b.pause)
	defer t.Stop()
	b.pause = min(2*b.pause, lastRetry)
	select {
	case <-t.C:
		return true
	case <-seen:
		return false
	case <-ctx.Done():
		return false
	}
}

// mayHaveEffect reports whether an append that failed may be carried out all the
// same, now or later.
func mayHaveEffect(err error) bool {
	return !errors.Is(err, platform.ErrRefused) && !errors.Is(err, platform.ErrThrottled) &&
		!errors.Is(err, platform.ErrRejected)
}
