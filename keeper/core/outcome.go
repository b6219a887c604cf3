package core

import (
	"time"

	"github.com/peridotmount/peridotmount/ledger"
)

// Outcome is the result of one run of an item.
type Outcome struct {
	Key ItemKey
	// Done is the item's result, or nil if the item remains open.
	Done *ledger.ItemDone
	// UsedAttempt reports that the run used up an attempt although the item remains
	// open.
	UsedAttempt bool
	// RetryAfter is the delay before an item that remains open may run again.
	RetryAfter time.Duration
	// Refused reports that no endpoint accepted the item. No other item is
	// started before RetryAfter has passed either.
	Refused bool
	// PriorTokens holds the tokens received so far.
	PriorTokens []string
}
