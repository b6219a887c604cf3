package jobs

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrMalformed means that a ledger record or a payload can't be decoded.
var ErrMalformed = errors.New("ledger record or payload is malformed")

// Record is one ledger record; exactly one of its pointer fields is set.
type Record struct {
	// Job is the id of the job, by ID.
	Job string `json:"job"`
	// Writer identifies the process that wrote the record.
	Writer  string      `json:"writer"`
	Submit  *Submission `json:"submit,omitempty"`
	Result  *Result     `json:"result,omitempty"`
	Failure *Failure    `json:"failure,omitempty"`
	Partial *Partial    `json:"partial,omitempty"`
	Cancel  *Cancel     `json:"cancel,omitempty"`
	// Rejection names an attempt to submit Job.
	Rejection *Rejection `json:"rejection,omitempty"`
}

// Submission requests the acceptance of a job.
type Submission struct {
	// Attempt identifies one call that submitted the job; duplicates of its record
	// share it.
	Attempt string `json:"attempt"`
	// Route is the name of the route that the job was submitted through; Host and
	// Path are the host and path that the submission was addressed to.
	Route string `json:"route"`
	Host  string `json:"host"`
	Path  string `json:"path"`
	// Workspace is the workspace whose key the submission carried, or "" if it needed none.
	Workspace string `json:"workspace,omitempty"`
	// Public means that the route was public, so that calls on the job need no key. Jobs of
	// older builds have neither a workspace nor this mark.
	Public bool `json:"public,omitempty"`
	// Items holds the metadata of the job's items; Inputs locates the rest of their
	// data.
	Items  []ItemMeta `json:"items"`
	Inputs []Input    `json:"inputs"`
	// AcceptedBy is the host that was handed the job, which has its inputs in memory.
	AcceptedBy string `json:"taken_by,omitempty"`
	// Tokens is the sum of the items' tokens.
	Tokens int64 `json:"tokens"`
	// Quota is the maximum number of tokens of open items that the workspace has on the route,
	// or all jobs without a workspace; 0 means unlimited.
	Quota int64 `json:"quota,omitempty"`
	// SubmittedMillis is the writer's wall-clock time, in Unix milliseconds.
	SubmittedMillis int64 `json:"submitted_ms"`
	// WindowMillis is the time from the submission until the job is due;
	// RetentionMillis is the time from the submission after which open items may be
	// given up.
	WindowMillis    int64 `json:"window_ms"`
	RetentionMillis int64 `json:"retention_ms"`
	// MaxFailures is the number of failed runs after which an item is given up.
	MaxFailures int `json:"max_failures"`
}

// Result is the final outcome of an item.
type Result struct {
	// Item is the item's number in its job, starting at 0.
	Item int `json:"item"`
	// Dead reports that the item was given up; Reason states why.
	Dead   bool   `json:"dead,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Output locates the item's output; it is empty for a dead item.
	Output Blob `json:"output"`
}

// Failure records a run of an item to which the endpoint responded with a failure.
type Failure struct {
	Item int `json:"item"`
	// Run identifies the run; duplicates of its record share it.
	Run string `json:"run"`
	// Status is the HTTP status of the endpoint's response.
	Status int `json:"status"`
}

// Partial is a checkpoint of an item that a host could not finish: it keeps the
// events received so far, so that another host can resume after them.
type Partial struct {
	Item int `json:"item"`
	// Events is the number of events in Output.
	Events int  `json:"events"`
	Output Blob `json:"output"`
	// Version is the version of the endpoint's software. Another version can't go on with
	// the output.
	Version string `json:"version,omitempty"`
}

// Cancel cancels a job: its open items are no longer run.
type Cancel struct{}

// Encode returns the encoded record, as it is stored.
func (r *Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode ledger record")
}

// DecodeRecord decodes a stored record, or returns ErrMalformed.
func DecodeRecord(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if r.Job == "" {
		return nil, errors.Wrap(ErrMalformed, "record names no job")
	}
	if err := r.validate(); err != nil {
		return nil, err
	}
	return &r, nil
}
