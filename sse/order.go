package sse

import (
	"strconv"

	"github.com/pkg/errors"
)

// ErrOrder means that an endpoint left out or repeated an event.
var ErrOrder = errors.New("event is out of order")

// Order checks that numbered events follow one another without a gap, also
// over a resumption. Events without a number are not checked.
type Order struct {
	// Last is the id of the newest event, as it is sent on resumption.
	Last string
	// number is that id as a number, or -1.
	number int64
}

// NewOrder returns an Order of a stream whose newest event is known, or "".
func NewOrder(last string) Order {
	return Order{Last: last, number: eventNumber(last)}
}

// Check notes events that come next, or returns ErrOrder.
func (o *Order) Check(events []Event) error {
	for i := range events {
		id := events[i].ID
		n := eventNumber(id)
		if n < 0 {
			continue
		}
		if o.number >= 0 && n != o.number+1 {
			return errors.Wrapf(ErrOrder, "%d after %d", n, o.number)
		}
		o.Last, o.number = id, n
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
