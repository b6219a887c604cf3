package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/objects"
)

// TestDeadlineCutsSentPlainCall ends the time of a call that an endpoint has: the
// deadline is what ended it, whether or not the call may be repeated.
func TestDeadlineCutsSentPlainCall(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		a := &plainAttempt{
			call: &PlainCall{Service: &objects.Service{Idempotent: idempotent}},
			want: &want{},
		}
		ctx, cancel := context.WithDeadline(context.Background(), time.Now())
		cancel()
		err := a.final(ctx, errors.Wrap(engine.ErrBroken, "context deadline exceeded"))
		expectError(t, err, ErrDeadline, Unknown)
	}
}
