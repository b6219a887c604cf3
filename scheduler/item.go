package scheduler

import "time"

// Item is a batch item that is to be run.
type Item struct {
	Ref     ItemRef
	Service string
	// Due is when the item should have its result.
	Due time.Time
	// PromptTokens and ExpectedTokens are the size of the generation.
	PromptTokens   int
	ExpectedTokens int
	Prefix         []string
	// Done is how many of the expected tokens an earlier run made and left.
	Done int
}

// itemState is where an item stands.
type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
	// itemSettled items were run to an end that the ledger does not show yet.
	itemSettled
)

// openItem is an Item with what its runs left.
type openItem struct {
	Item
	state itemState
	// ticket is that of the present run.
	ticket string
	// host ran the item last and keeps what it made.
	host string
	// notBefore delays the next run after one that failed.
	notBefore time.Time
	// settled is when the last run ended.
	settled time.Time
	// failures counts the runs in a row that made nothing.
	failures int
}

// remaining returns the time that the item still needs in a slot.
func (i *openItem) remaining(perToken time.Duration) time.Duration {
	return time.Duration(max(1, i.ExpectedTokens-i.Done)) * perToken
}
