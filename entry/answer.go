package entry

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/keeper"
)

// answer is the end of a keyed request, in the form in which it is recorded.
// Exactly one member is set.
type answer struct {
	Completion *completionAnswer `json:"completion,omitempty"`
	Plain      *plainAnswer      `json:"plain,omitempty"`
	Failure    *APIError         `json:"failure,omitempty"`
}

// completionAnswer is the whole answer of a model, token by token.
type completionAnswer struct {
	Kind  completion.Kind `json:"kind"`
	Model string          `json:"model"`
	// Created is in seconds since the Unix epoch.
	Created int64 `json:"created"`
	// Prompt is the number of the prompt's tokens.
	Prompt int      `json:"prompt"`
	Tokens []string `json:"tokens"`
	Finish string   `json:"finish"`
}

// plainAnswer is the answer of a plain service.
type plainAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

func failed(err error) *answer {
	return &answer{Failure: apiError(err)}
}

// notRun tells that the request ended before any endpoint worked on it, so
// that it may be tried again.
func (a *answer) notRun() bool {
	return a.Failure != nil && a.Failure.RunState == dispatch.NotRun
}

// status returns the HTTP status of the answer.
func (a *answer) status() int {
	switch {
	case a.Failure != nil:
		return a.Failure.Status
	case a.Plain != nil:
		return a.Plain.Status
	default:
		return http.StatusOK
	}
}

// tokens returns the tokens of a completion.
func (a *answer) tokens() []string {
	if a.Completion == nil {
		return nil
	}
	return a.Completion.Tokens
}

// encode returns what is recorded. An answer that is too large for the log is
// recorded as a failure that says so.
func (a *answer) encode() ([]byte, error) {
	data, err := json.Marshal(a)
	if err != nil {
		return nil, errors.Wrap(err, "encode answer")
	}
	if len(data) <= maxRecordedBytes {
		return data, nil
	}
	return json.Marshal(&answer{Failure: &APIError{
		Status:   http.StatusInsufficientStorage,
		Code:     CodeResultTooLarge,
		Type:     typeServer,
		Message:  "the request was completed, but its answer was too large to be kept",
		RunState: dispatch.Completed,
	}})
}

// kept returns the recorded answer of a request, or nil if there is none.
func kept(s *keeper.RequestStatus) (*answer, error) {
	if s.Result == nil {
		return nil, nil
	}
	a := new(answer)
	if err := json.Unmarshal(s.Result.Body, a); err != nil {
		return nil, errors.Wrap(keeper.ErrUnavailable, err.Error())
	}
	return a, nil
}
