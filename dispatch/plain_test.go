package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/objects"
)

// TestDeadlineEndsSentPlainCall lets the deadline pass while an endpoint has the
// call. The error must be ErrDeadline, whether or not the service is idempotent.
func TestDeadlineEndsSentPlainCall(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		x := &plainExecution{
			call:    &PlainCall{Service: &objects.Service{Idempotent: idempotent}},
			tickets: &ticketRequester{},
		}
		ctx, cancel := context.WithDeadline(context.Background(), time.Now())
		cancel()
		err := x.finalError(ctx, errors.Wrap(engine.ErrBroken, "context deadline exceeded"))
		expectError(t, err, ErrDeadline, Unknown)
	}
}
