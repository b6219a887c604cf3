package sse

import (
	"strconv"

	"github.com/pkg/errors"
)

// ErrOrder is returned if an endpoint skipped or repeated an event.
var ErrOrder = errors.New("event is out of order")

// OrderChecker checks that the numbers of events are consecutive, including across the
// resumption of a stream: the first event behind a resumption has the next number.
type OrderChecker struct {
	// LastID is the ID of the newest numbered event, which is sent when the stream is resumed.
	LastID string
	// Unnumbered is set once there was an event without a number. The stream can't be resumed
	// then: no endpoint can be told where.
	Unnumbered bool
	// number is LastID as a number, or -1 if there is none.
	number int64
	// resumed is set until the first event of a stream that is resumed behind LastID.
	resumed bool
}

// NewOrderChecker returns an OrderChecker for a stream whose newest event has the ID
// last, or "" for a new stream.
func NewOrderChecker(last string) OrderChecker {
	o := OrderChecker{LastID: last, number: eventNumber(last)}
	o.Resume()
	return o
}

// Resume has the next event be the one behind LastID.
func (o *OrderChecker) Resume() {
	o.resumed = o.number > 0
}

// Check records the next events of the stream. It returns ErrOrder if numbers are not
// consecutive, or a resumed stream begins without a number.
func (o *OrderChecker) Check(events []Event) error {
	for i := range events {
		id := events[i].ID
		n := eventNumber(id)
		switch {
		case n < 0 && o.resumed:
			return errors.Wrapf(ErrOrder, "one without a number after %d", o.number)
		case n < 0:
			o.Unnumbered = true
		case o.number >= 0 && n != o.number+1:
			return errors.Wrapf(ErrOrder, "%d after %d", n, o.number)
		default:
			o.LastID, o.number, o.resumed = id, n, false
		}
	}
	return nil
}

// eventNumber returns an ID as a number, or -1 if it is none.
func eventNumber(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}
