package sse

import (
	"strconv"

	"github.com/pkg/errors"
)

// ErrOrder is returned if an endpoint skipped or repeated an event.
var ErrOrder = errors.New("event is out of order")

// OrderChecker checks that events with numeric IDs are consecutive, including across
// the resumption of a stream. Events without a numeric ID are not checked.
type OrderChecker struct {
	// LastID is the ID of the newest event, which is sent when the stream is resumed.
	LastID string
	// number is LastID as a number, or -1 if there is none.
	number int64
}

// NewOrderChecker returns an OrderChecker for a stream whose newest event has the ID
// last, or "" for a new stream.
func NewOrderChecker(last string) OrderChecker {
	return OrderChecker{LastID: last, number: eventNumber(last)}
}

// Check records the next events of the stream. It returns ErrOrder if they are not
// consecutive.
func (o *OrderChecker) Check(events []Event) error {
	for i := range events {
		id := events[i].ID
		n := eventNumber(id)
		if n < 0 {
			continue
		}
		if o.number >= 0 && n != o.number+1 {
			return errors.Wrapf(ErrOrder, "%d after %d", n, o.number)
		}
		o.LastID, o.number = id, n
	}
	return nil
}

func eventNumber(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return n
}
