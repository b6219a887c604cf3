package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// backoff spaces the attempts of an append and sets the timeout of each attempt.
//
// It limits the load after a store outage, when three hundred hosts append their
// pending records at once, but a partition of the store takes only 500 appends a
// second. The store still carries out a call that the client has given up while the
// call was queued. If clients retried at once after each timeout, the store would write
// duplicate copies, and no call would be answered in time any more.
type backoff struct {
	// delay is the pause before the next attempt; timeout bounds the duration of that
	// attempt.
	delay, timeout time.Duration
}

func newBackoff() *backoff {
	return &backoff{delay: minRetryDelay, timeout: minAppendTimeout}
}

// attemptContext returns a context with the timeout of the next attempt.
func (b *backoff) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, b.timeout)
}

// nextDelay returns the pause before the next attempt, and doubles the delay and the
// timeout of the attempt after it, up to their maxima.
func (b *backoff) nextDelay() time.Duration {
	pause := b.delay
	b.delay = min(2*b.delay, maxRetryDelay)
	b.timeout = min(2*b.timeout, maxAppendTimeout)
	return pause
}

// wait pauses before the next attempt. It returns false if no further attempt is
// needed: ctx has ended, or the record was read back from the ledger.
func (b *backoff) wait(ctx context.Context, readBack <-chan struct{}) bool {
	t := time.NewTimer(b.nextDelay())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-readBack:
		return false
	case <-ctx.Done():
		return false
	}
}

// mayBeWritten reports whether the store may have carried out a failed append, or may
// still carry it out later.
func mayBeWritten(err error) bool {
	return !errors.Is(err, platform.ErrRefused) && !errors.Is(err, platform.ErrThrottled) &&
		!errors.Is(err, platform.ErrRejected)
}
