package ledger

import "encoding/json"

// Item is one unit of work of a job.
type Item struct {
	CustomID string `json:"custom_id"`
	// Body is the request to run.
	Body json.RawMessage `json:"body"`
}

// ItemStart records, before the run, the start of an item that must not run twice.
type ItemStart struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// ItemAttempt counts an attempt at an item that ended without a response.
type ItemAttempt struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// ItemDone records the end of an item. The first one applied is the result of the
// item; later ones are ignored.
type ItemDone struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
	// Failed is set if the item ended without a response.
	Failed bool `json:"failed,omitempty"`
	// Body is the response, or the error if Failed is set.
	Body json.RawMessage `json:"body"`
}

// ItemState is the state of an item.
type ItemState uint8

// Item states.
const (
	// ItemOpen is an item without a result.
	ItemOpen ItemState = iota
	ItemCompleted
	ItemFailed
	// ItemCanceled is an item without a result whose job was cancelled. It is
	// derived from the status of the job and never stored.
	ItemCanceled
)

// itemProgress is the replayed state of one item.
type itemProgress struct {
	// at is the place of the item's result, or 0 while the item is open.
	at       Place
	state    ItemState
	attempts uint8
	started  bool
}
