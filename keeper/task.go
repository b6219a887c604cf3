package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/keeper/core"
	"github.com/peridotmount/peridotmount/ledger"
	"github.com/peridotmount/peridotmount/objects"
)

const (
	// refusedBackoff is the minimum backoff of an item that no endpoint accepted, and
	// the backoff of an item whose request could not be read from the log.
	refusedBackoff = time.Second
	// failureBackoff is the minimum backoff of an item whose attempt failed.
	failureBackoff = 200 * time.Millisecond
	// crashBackoff is the minimum backoff of an item under which an endpoint died.
	crashBackoff = time.Second
)

// Error codes of items that end without a response.
const (
	codeInvalid           = "invalid_request"
	codeInterrupted       = "interrupted"
	codeAttemptsExhausted = "tries_exhausted"
	codeRequestLost       = "request_lost"
)

// task is one attempt to run an item.
type task struct {
	core.Task
	partition *Partition
}

// execute runs the item and returns its outcome. The start of an item of a
// non-idempotent service is made durable before it is dispatched.
func (t *task) execute(ctx context.Context) core.Outcome {
	item, err := t.load(ctx)
	if err != nil {
		return t.loadFailed(err)
	}
	if t.Interrupted {
		return t.failedOutcome(item, codeInterrupted, "an earlier run was interrupted; run state unknown")
	}
	call, request, err := t.newCall(item)
	if err != nil {
		return t.failedOutcome(item, codeInvalid, err.Error())
	}
	if !call.Service.Idempotent {
		start := &ledger.ItemStart{Job: t.Key.Job, Index: t.Key.Index}
		if err := t.partition.propose(ctx, ledger.Entry{ItemStart: start}); err != nil {
			return core.Outcome{Key: t.Key, RetryAfter: failureBackoff}
		}
	}
	tokens := append([]string(nil), t.PriorTokens...)
	result, err := t.partition.opts.Dispatcher.Stream(ctx, call, func(_ int, token string) error {
		tokens = append(tokens, token)
		return nil
	})
	if err != nil {
		return t.dispatchFailed(item, call, tokens, err)
	}
	writer := completion.Writer{ID: call.RequestID, Created: time.Now().Unix(), Request: request}
	return t.completedOutcome(item, writer.Whole(tokens, result.Finish))
}

func (t *task) load(ctx context.Context) (*ledger.Item, error) {
	e, err := t.partition.entry(ctx, t.Chunk)
	if err != nil {
		return nil, err
	}
	c := e.JobItems
	if c == nil || c.Job != t.Key.Job || t.Key.Index < c.First || t.Key.Index >= c.First+len(c.Items) {
		return nil, errors.Wrapf(ErrUnavailable, "item %d not in record %d", t.Key.Index, t.Chunk.Offset())
	}
	return &c.Items[t.Key.Index-c.First], nil
}

// loadFailed returns the outcome of an item whose request could not be read from
// the log. If the request was trimmed, the item can never run, so the attempt is
// counted and the item fails after MaxItemAttempts attempts. Other errors are retried
// without limit.
func (t *task) loadFailed(err error) core.Outcome {
	if !errors.Is(err, ErrTrimmed) {
		return core.Outcome{Key: t.Key, RetryAfter: refusedBackoff}
	}
	if t.Attempts+1 >= t.partition.opts.MaxItemAttempts {
		return t.failedOutcome(&ledger.Item{}, codeRequestLost, err.Error())
	}
	return core.Outcome{Key: t.Key, RetryAfter: refusedBackoff, UsedAttempt: true}
}

func (t *task) id() string {
	return fmt.Sprintf("%s.%d", t.Key.Job, t.Key.Index)
}

func (t *task) newCall(item *ledger.Item) (*dispatch.Call, *completion.Request, error) {
	request, err := completion.Parse(completion.Kind(t.Endpoint), item.Body)
	if err != nil {
		return nil, nil, err
	}
	set := t.partition.opts.Revision().Set
	service := set.Services[request.Service()]
	customer := set.Customers[t.Customer]
	if service == nil || customer == nil || !customer.MayUse(service.Name) {
		return nil, nil, &completion.FieldError{Field: "model", Reason: "is not a service of the customer"}
	}
	return &dispatch.Call{
		RequestID: t.id(),
		Job:       t.Key.Job,
		Customer:  customer,
		Service:   service,
		Class:     objects.ClassBatch,
		Adapter:   request.Adapter(),
		Prompt:    request.FullPrompt(),
		MaxTokens: request.Limit(service.MaxTokens),
		Sampling:  request.Sampling,
		Prior:     t.PriorTokens,
	}, request, nil
}

// dispatchFailed returns the outcome of an item whose dispatch failed. tokens
// holds the prior tokens and those received by this attempt.
func (t *task) dispatchFailed(item *ledger.Item, call *dispatch.Call, tokens []string, err error) core.Outcome {
	var failure *dispatch.Error
	if !errors.As(err, &failure) {
		failure = &dispatch.Error{Cause: err, RunState: dispatch.Unknown}
	}
	out := core.Outcome{Key: t.Key, PriorTokens: tokens, RetryAfter: max(failure.RetryAfter, failureBackoff)}
	switch {
	case errors.Is(failure, dispatch.ErrRevoked):
		return out
	case errors.Is(failure, dispatch.ErrQuarantined):
		out.Refused = true
		out.RetryAfter = max(failure.RetryAfter, refusedBackoff)
		return out
	case failure.EndpointDied && call.Service.Idempotent:
		// Items don't crash endpoints by themselves: the attempt is not counted.
		out.RetryAfter = max(failure.RetryAfter, crashBackoff)
		return out
	case failure.RunState == dispatch.NotRun || errors.Is(failure, dispatch.ErrOverloaded):
		out.Refused = true
		out.RetryAfter = max(failure.RetryAfter, refusedBackoff)
		return out
	case !call.Service.Idempotent:
		return t.failedOutcome(item, codeInterrupted, failure.Error())
	case len(t.PriorTokens) > 0 && len(tokens) == len(t.PriorTokens):
		// A run that resumes from prior tokens and produced none may have been
		// refused or have failed; the two can't be distinguished. The attempt is
		// not counted, and the next one starts without tokens, so that its
		// failure is counted.
		out.PriorTokens = nil
		return out
	case t.Attempts+1 >= t.partition.opts.MaxItemAttempts:
		return t.failedOutcome(item, codeAttemptsExhausted, failure.Error())
	default:
		out.UsedAttempt = true
		return out
	}
}

func (t *task) completedOutcome(item *ledger.Item, response completion.Response) core.Outcome {
	return t.finalOutcome(OutputLine{
		ID:       t.id(),
		CustomID: item.CustomID,
		Response: &OutputResponse{StatusCode: 200, RequestID: response.ID, Body: response},
	}, false)
}

func (t *task) failedOutcome(item *ledger.Item, code, reason string) core.Outcome {
	return t.finalOutcome(OutputLine{
		ID:       t.id(),
		CustomID: item.CustomID,
		Error:    &OutputError{Code: code, Message: reason},
	}, true)
}

func (t *task) finalOutcome(line OutputLine, failed bool) core.Outcome {
	// Encoding cannot fail: the line holds only text and numbers.
	body, _ := json.Marshal(line)
	return core.Outcome{Key: t.Key, Done: &ledger.ItemDone{
		Job:    t.Key.Job,
		Index:  t.Key.Index,
		Failed: failed,
		Body:   body,
	}}
}
