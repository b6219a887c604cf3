package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/httpjson"
)

// keyedCompletion answers a completion that has an identity.
func (e *Entry) keyedCompletion(ctx context.Context, w http.ResponseWriter, k *keyedCall, call *dispatch.Call, request *completion.Request, timer *tokenTimer) error {
	if k.resume != nil && !request.Stream {
		return invalid(headerLastEventID, "only a streamed answer is resumed")
	}
	k.deadline = call.Deadline
	k.execute = func(ctx context.Context, r *run) *answer {
		return e.generate(ctx, k, r, call, request)
	}
	w.Header().Set(HeaderRequestID, k.id)
	w.Header().Set(HeaderIdempotencyKey, k.key)
	r, err := e.obtain(ctx, k)
	if err != nil {
		return err
	}
	writer := &completion.Writer{ID: k.id, Created: time.Now().Unix(), Request: request}
	if request.Stream {
		return e.keyedStream(ctx, w, k, r, writer, timer)
	}
	end, err := r.await(ctx)
	if err != nil {
		return err
	}
	if end.Failure != nil {
		return end.Failure
	}
	writeRecording(w, r)
	httpjson.WriteJSON(w, http.StatusOK, end.Completion.whole(k.id))
	return nil
}

// generate carries a completion out: by reading it again from the engine that
// has it, if the caller names one, or else by running it.
func (e *Entry) generate(ctx context.Context, k *keyedCall, r *run, origin *dispatch.Call, request *completion.Request) *answer {
	call := *origin
	call.RequestID = r.name()
	call.OnStream = r.locate
	created := time.Now().Unix()
	sink := func(_ int, token string) error {
		r.add(token)
		return nil
	}
	result, err := e.source(ctx, k, r, &call, sink)
	if err != nil {
		return failed(err)
	}
	return &answer{Completion: &completionAnswer{
		Kind:    request.Kind,
		Model:   request.Model,
		Created: created,
		Prompt:  completion.PromptTokens(request.FullPrompt()),
		Tokens:  r.known(),
		Finish:  result.Finish,
	}}
}

func (e *Entry) source(ctx context.Context, k *keyedCall, r *run, call *dispatch.Call, sink dispatch.Sink) (dispatch.Result, error) {
	if !k.resumable() {
		return e.opts.Dispatcher.Stream(ctx, call, sink)
	}
	result, err := e.opts.Dispatcher.Resume(ctx, call, k.resume.at, sink)
	if err == nil {
		return result, nil
	}
	if k.onlyResume {
		return dispatch.Result{}, notResumable("the engine no longer has the stream, and the request is not run again")
	}
	call.Prior = r.known()
	return e.opts.Dispatcher.Stream(ctx, call, sink)
}

// whole returns the body of a whole answer.
func (a *completionAnswer) whole(id string) completion.Response {
	writer := &completion.Writer{
		ID:      id,
		Created: a.Created,
		Request: &completion.Request{Kind: a.Kind, Model: a.Model},
		Prompt:  a.Prompt,
	}
	return writer.Whole(a.Tokens, a.Finish)
}

// writeRecording reports whether the answer is durable.
func writeRecording(w http.ResponseWriter, r *run) {
	w.Header().Set(HeaderRecording, recordingState(r))
}

func recordingState(r *run) string {
	if r.isRecorded() {
		return recordingDone
	}
	return recordingPending
}

func notResumable(message string) *APIError {
	return &APIError{
		Status:   http.StatusConflict,
		Code:     CodeNotResumable,
		Type:     typeInvalidRequest,
		Param:    headerLastEventID,
		Message:  message,
		RunState: dispatch.Unknown,
	}
}

// errOtherTokens means that the tokens before the caller's offset are not those
// that the caller has.
var errOtherTokens = errors.New("the answer has other tokens before the offset")
