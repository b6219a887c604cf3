package jobs

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrMalformed means that a record of the ledger can't be read.
var ErrMalformed = errors.New("ledger record is malformed")

// Record is one record of the ledger; one of its parts is set.
type Record struct {
	Job string `json:"job"`
	// Writer names the process that wrote the record.
	Writer  string      `json:"writer"`
	Submit  *Submission `json:"submit,omitempty"`
	Result  *Result     `json:"result,omitempty"`
	Failure *Failure    `json:"failure,omitempty"`
	Partial *Partial    `json:"partial,omitempty"`
	Cancel  *Cancel     `json:"cancel,omitempty"`
}

// Submission asks that a job is accepted.
type Submission struct {
	// Attempt names one call to hand the job in; copies of its record share it.
	Attempt string `json:"attempt"`
	// Route is the name of the route that the job came in on, Host and Path are
	// where it was sent.
	Route string `json:"route"`
	Host  string `json:"host"`
	Path  string `json:"path"`
	// Items are the job's, Inputs the places of the rest of them.
	Items  []ItemMeta `json:"items"`
	Inputs []Input    `json:"inputs"`
	// AcceptedBy is the host that was handed the job, which has its inputs in memory.
	AcceptedBy string `json:"taken_by,omitempty"`
	// Tokens is the sum of the items' tokens.
	Tokens int64 `json:"tokens"`
	// Quota is the most tokens that may wait on the route; 0 is no bound.
	Quota int64 `json:"quota,omitempty"`
	// SubmittedMillis is the writer's time of day, in Unix milliseconds.
	SubmittedMillis int64 `json:"submitted_ms"`
	// WindowMillis is how long after its submission the job is due, and
	// RetentionMillis how long after it open items may be given up.
	WindowMillis    int64 `json:"window_ms"`
	RetentionMillis int64 `json:"retention_ms"`
	// MaxFailures is how many failures end an item.
	MaxFailures int `json:"max_failures"`
}

// Result ends an item.
type Result struct {
	// Item is the item's number in its job, from 0.
	Item int `json:"item"`
	// Dead tells that the item was given up, for Reason.
	Dead   bool   `json:"dead,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Output is the place of the item's output; a dead item has none.
	Output Blob `json:"output"`
}

// Failure counts a run of an item that its endpoint answered with a failure.
type Failure struct {
	Item int `json:"item"`
	// Run names the run; copies of its record share it.
	Run string `json:"run"`
	// Status is the endpoint's.
	Status int `json:"status"`
}

// Partial keeps the events of an item that a host could not finish, so that
// another one goes on behind them.
type Partial struct {
	Item int `json:"item"`
	// Events is the number of events in Output.
	Events int  `json:"events"`
	Output Blob `json:"output"`
}

// Cancel ends a job: its open items are not run any more.
type Cancel struct{}

// Encode returns the value of the record in the store.
func (r *Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode ledger record")
}

// DecodeRecord reads the value of a record, or returns ErrMalformed.
func DecodeRecord(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if r.Job == "" {
		return nil, errors.Wrap(ErrMalformed, "record without a job")
	}
	return &r, nil
}
