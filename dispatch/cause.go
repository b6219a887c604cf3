package dispatch

import (
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/engine"
)

// Values of the label "cause" of the retry counter.
const (
	causeRefused     = "refused"
	causeLeaving     = "leaving"
	causeUnreachable = "unreachable"
	causeBroken      = "broken"
)

func causeOf(err error) string {
	switch {
	case errors.Is(err, engine.ErrRefused):
		return causeRefused
	case errors.Is(err, engine.ErrLeaving):
		return causeLeaving
	case errors.Is(err, engine.ErrUnreachable):
		return causeUnreachable
	default:
		return causeBroken
	}
}
