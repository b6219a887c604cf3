package follow

import (
	"time"

	"github.com/peridotmount/peridotmount/platform"
)

// Handler takes what a Follower reads. Its methods are called one at a time;
// the times are those of package clock.
type Handler interface {
	// Listed takes the newest record of every key, in offset order. Keys not in
	// it are gone, but for records from offset end on, which follow.
	Listed(now time.Time, records []platform.KeyedRecord, end int64)
	// Changed takes records in offset order.
	Changed(now time.Time, records []platform.KeyedRecord)
	// Lost is called when the store stops answering, Regained when it answers
	// again, before what it says is handed over.
	Lost(now time.Time)
	Regained(now time.Time)
}
