package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/keeper"
)

// Code is a stable name of a kind of error.
type Code string

// Codes of errors that callers see.
const (
	CodeInvalidRequest Code = "invalid_request"
	CodeInvalidKey     Code = "invalid_api_key"
	CodeForbidden      Code = "forbidden"
	CodeModelNotFound  Code = "model_not_found"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "idempotency_conflict"
	CodeTooLarge       Code = "request_too_large"
	CodeRateLimited    Code = "rate_limited"
	CodeUnavailable    Code = "unavailable"
	CodeInterrupted    Code = "interrupted"
	CodeDeadline       Code = "deadline_exceeded"
	CodeQuarantined    Code = "quarantined"
	CodeInternal       Code = "internal"
	CodeInProgress     Code = "request_in_progress"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeNotResumable   Code = "stream_not_resumable"
	CodeResultTooLarge Code = "result_too_large"
	CodeUnsupported    Code = "unsupported_parameter"
	CodeBodyTimeout    Code = "body_timeout"
	CodeExpired        Code = "expired"
	CodeNoRoute        Code = "no_such_route"
)

// APIError is the answer to a request that is not served.
type APIError struct {
	Status     int               `json:"status"`
	Code       Code              `json:"code"`
	Type       string            `json:"type"`
	Message    string            `json:"message"`
	Param      string            `json:"param,omitempty"`
	RunState   dispatch.RunState `json:"run_state"`
	RetryAfter time.Duration     `json:"retry_after,omitempty"`
	// certain tells that NotRun holds for every sending of the request's key,
	// not for this one alone.
	certain bool
	// shutdown tells that the host's shutdown ended the request.
	shutdown bool
}

// Error implements error.
func (e *APIError) Error() string {
	return string(e.Code) + ": " + e.Message
}

type errorBody struct {
	Error errorContent `json:"error"`
}

type errorContent struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    Code    `json:"code"`
	// RunState repeats HeaderRunState, for readers of an event stream.
	RunState dispatch.RunState `json:"run_state"`
}

// body returns the error in the OpenAI shape.
func (e *APIError) body() errorBody {
	content := errorContent{Message: e.Message, Type: e.Type, Code: e.Code, RunState: e.RunState}
	if e.Param != "" {
		content.Param = &e.Param
	}
	return errorBody{Error: content}
}

// write answers with e.
func (e *APIError) write(w http.ResponseWriter) {
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set(headerRetryAfter, strconv.Itoa(max(seconds, minRetryAfterSeconds)))
	}
	w.Header().Set(HeaderRunState, string(e.RunState))
	httpjson.WriteJSON(w, e.Status, e.body())
}

func invalid(param, message string) *APIError {
	return &APIError{
		Status:   http.StatusBadRequest,
		Code:     CodeInvalidRequest,
		Type:     typeInvalidRequest,
		Param:    param,
		Message:  message,
		RunState: dispatch.NotRun,
		certain:  true,
	}
}

// forKey returns e as the answer to a request that a caller sent under a key: a
// refusal says nothing of the earlier sendings, one of which may have run.
func (e *APIError) forKey() *APIError {
	if e.RunState != dispatch.NotRun || e.certain {
		return e
	}
	out := *e
	out.RunState = dispatch.Unknown
	out.Message += "; an earlier sending under the same key may have run"
	return &out
}

// apiError turns an error from below into the answer to the caller.
func apiError(err error) *APIError {
	var own *APIError
	if errors.As(err, &own) {
		return own
	}
	var field *completion.FieldError
	if errors.As(err, &field) {
		failure := invalid(field.Field, field.Error())
		if field.Unsupported {
			failure.Code = CodeUnsupported
		}
		return failure
	}
	var failed *dispatch.Error
	if errors.As(err, &failed) {
		return dispatchError(failed)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return deadlineError()
	}
	return keeperError(err)
}

// deadlineError is the answer to a request whose time ran out while it may be
// running.
func deadlineError() *APIError {
	return &APIError{
		Status:   http.StatusGatewayTimeout,
		Code:     CodeDeadline,
		Type:     typeServer,
		Message:  "the deadline passed",
		RunState: dispatch.Unknown,
	}
}

func isNotFound(err error) bool {
	return errors.Is(err, keeper.ErrNotFound)
}

func dispatchError(e *dispatch.Error) *APIError {
	out := &APIError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeUnavailable,
		Type:       typeServer,
		Message:    e.Error(),
		RunState:   e.RunState,
		RetryAfter: e.RetryAfter,
	}
	switch {
	case errors.Is(e, dispatch.ErrOverloaded):
		out.Status, out.Code, out.Type = http.StatusTooManyRequests, CodeRateLimited, typeRateLimit
	case errors.Is(e, dispatch.ErrInterrupted):
		out.Status, out.Code = http.StatusBadGateway, CodeInterrupted
	case errors.Is(e, dispatch.ErrDeadline):
		out.Status, out.Code = http.StatusGatewayTimeout, CodeDeadline
	case errors.Is(e, dispatch.ErrQuarantined):
		out.Status, out.Code, out.Type = http.StatusUnprocessableEntity, CodeQuarantined, typeInvalidRequest
	}
	return out
}

// keeperError answers an error of the keeper. A change that the keeper could
// not confirm may have been recorded all the same, and work of it may run.
func keeperError(err error) *APIError {
	out := &APIError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeUnavailable,
		Type:       typeServer,
		Message:    err.Error(),
		RunState:   dispatch.NotRun,
		RetryAfter: defaultRetryAfter,
	}
	switch {
	case errors.Is(err, keeper.ErrUnavailable), errors.Is(err, keeper.ErrNotLeader), errors.Is(err, keeper.ErrNoLeader):
		out.RunState = dispatch.Unknown
	case errors.Is(err, keeper.ErrNotFound):
		out.Status, out.Code, out.Type, out.RetryAfter = http.StatusNotFound, CodeNotFound, typeInvalidRequest, 0
	case errors.Is(err, keeper.ErrTrimmed):
		out.Status, out.Code, out.Type, out.RetryAfter = http.StatusGone, CodeExpired, typeInvalidRequest, 0
		out.RunState = dispatch.Unknown
	case errors.Is(err, keeper.ErrConflict):
		out.Status, out.Code, out.Type, out.RetryAfter = http.StatusConflict, CodeConflict, typeInvalidRequest, 0
	case errors.Is(err, keeper.ErrInvalid):
		out.Status, out.Code, out.Type, out.RetryAfter = http.StatusBadRequest, CodeInvalidRequest, typeInvalidRequest, 0
	case errors.Is(err, keeper.ErrBusy):
		out.Status, out.Code, out.Type = http.StatusTooManyRequests, CodeRateLimited, typeRateLimit
		out.RunState = dispatch.Unknown
	default:
		out.Status, out.Code, out.RunState = http.StatusInternalServerError, CodeInternal, dispatch.Unknown
	}
	return out
}
