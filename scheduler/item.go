package scheduler

import "time"

// Item is a batch item to run.
type Item struct {
	Ref     ItemRef
	Service string
	// Due is when the item should have its result.
	Due time.Time
	// PromptTokens and ExpectedTokens are the numbers of input and expected output
	// tokens.
	PromptTokens   int
	ExpectedTokens int
	Prefix         []string
	// PrefixTokens are the tokens of the parts of Prefix.
	PrefixTokens []int
	// Workspace is the workspace that the item's job belongs to, or "".
	Workspace string
	// InputHost is the host that has the item's input in memory, or "" if there is none.
	InputHost string
	// TokensDone is how many of the expected tokens exist from earlier runs.
	TokensDone int
}

// itemState is the state of an item.
type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
	// itemSettled items have finished, but the ledger does not show their result yet.
	itemSettled
)

// openItem is an Item and the state of its runs.
type openItem struct {
	Item
	state itemState
	// late means that the last plan expects the item to miss its due time: all other
	// items are started first.
	late bool
	// ticket is the ticket of the current run, and startedAt its start.
	ticket    string
	startedAt time.Time
	// host ran the item last and has its partial output. Before the first run, it is
	// the item's InputHost.
	host string
	// notBefore is the earliest start of the next run after a failed one.
	notBefore time.Time
	// settledAt is when the last run ended.
	settledAt time.Time
	// checkpointed is how many of the expected tokens are checkpointed, so that any
	// host can resume after them.
	checkpointed int
	// version is the software version that generated TokensDone, checkpointVersion the one
	// that generated the checkpoint.
	version, checkpointVersion string
	// failures counts consecutive runs that made no tokens.
	failures int
}

// tokensDone returns how many of the expected tokens exist: those of earlier runs, and
// an estimate for the current run from its duration.
func (i *openItem) tokensDone(now time.Time, perToken time.Duration) int {
	done := i.TokensDone
	if i.state == itemRunning && now.After(i.startedAt) {
		done += int(now.Sub(i.startedAt) / max(1, perToken))
	}
	return min(done, i.ExpectedTokens)
}

// remaining returns the estimated slot time until the item is finished.
func (i *openItem) remaining(now time.Time, perToken time.Duration) time.Duration {
	return time.Duration(max(1, i.ExpectedTokens-i.tokensDone(now, perToken))) * perToken
}

// doneFraction returns the finished fraction of the item, from 0 to 1.
func (i *openItem) doneFraction(now time.Time, perToken time.Duration) float64 {
	return float64(i.tokensDone(now, perToken)) / float64(max(1, i.ExpectedTokens))
}

// before reports whether the item is due before another. Ties are broken by ItemRef.
func (i *openItem) before(o *openItem) bool {
	if !i.Due.Equal(o.Due) {
		return i.Due.Before(o.Due)
	}
	if i.Ref.Job != o.Ref.Job {
		return i.Ref.Job < o.Ref.Job
	}
	return i.Ref.Item < o.Ref.Item
}

// slack returns how long the item can wait for a slot and still finish in time.
// Items that are planned to be late have the most, lateSlack.
func (i *openItem) slack(now time.Time, perToken time.Duration) time.Duration {
	if i.late {
		return lateSlack
	}
	return i.Due.Sub(now) - i.remaining(now, perToken)
}
