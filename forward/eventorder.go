package forward

import (
	"strconv"

	"github.com/pkg/errors"
)

// errEventOrder means that an endpoint left out or repeated an event.
var errEventOrder = errors.New("event is out of order")

// eventOrder checks that numbered events follow one another without a gap, also
// over a resumption. Events without a number are not checked.
type eventOrder struct {
	// last is the id of the newest event, as it is sent on resumption.
	last string
	// number is that id as a number, or -1.
	number int64
}

func newEventOrder(last string) eventOrder {
	return eventOrder{last: last, number: eventNumber(last)}
}

// check notes events that come next, or returns errEventOrder.
func (o *eventOrder) check(ids []string) error {
	for _, id := range ids {
		n := eventNumber(id)
		if n < 0 {
			continue
		}
		if o.number >= 0 && n != o.number+1 {
			return errors.Wrapf(errEventOrder, "%d after %d", n, o.number)
		}
		o.last, o.number = id, n
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
