package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// backoff spaces the tries of an append, and bounds each.
//
// The load it answers: an outage of the store, after which three hundred hosts append at
// once what they have. A partition takes 500 appends a second. A call that is given up
// while it waits there is carried out all the same; asked again at once each time, the
// store writes copies, and none of the calls is answered in time any more.
type backoff struct {
	// pause is that before the next try, timeout the time that it may take.
	pause, timeout time.Duration
}

func newBackoff() *backoff {
	return &backoff{pause: firstRetry, timeout: firstAppendTimeout}
}

// try bounds the next try.
func (b *backoff) try(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, b.timeout)
}

// failed makes the next try come later and last longer, and returns the pause before it.
func (b *backoff) failed() time.Duration {
	pause := b.pause
	b.pause = min(2*b.pause, lastRetry)
	b.timeout = min(2*b.timeout, lastAppendTimeout)
	return pause
}

// wait pauses before the next try. It reports false if there is none: ctx ended,
// or what was to be written was seen.
func (b *backoff) wait(ctx context.Context, seen <-chan struct{}) bool {
	t := time.NewTimer(b.failed())
	defer t.Stop()
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
