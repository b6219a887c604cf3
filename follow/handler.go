package follow

import (
	"time"

	"github.com/peridotmount/peridotmount/platform"
)

// Handler receives the records that a Follower reads. Its methods are called one at
// a time; the times are those of package clock.
type Handler interface {
	// Listed receives the newest record of every key, in offset order. Keys that
	// are not listed were deleted, unless a record at offset end or later sets
	// them; such records follow in calls of Changed.
	Listed(now time.Time, records []platform.KeyedRecord, end int64)
	// Changed receives new records in offset order.
	Changed(now time.Time, records []platform.KeyedRecord)
	// Lost is called when calls to the store begin to fail, Regained when one
	// succeeds again, before its records are passed on.
	Lost(now time.Time)
	Regained(now time.Time)
}
