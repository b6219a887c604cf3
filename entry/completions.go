package entry

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/sse"
)

func (e *Entry) completions(kind completion.Kind) handler {
	return func(w http.ResponseWriter, r *http.Request, c *caller) error {
		body, err := e.readBody(w, r)
		if err != nil {
			return err
		}
		request, err := completion.Parse(kind, body)
		if err != nil {
			return err
		}
		call, err := newCall(c, request)
		if err != nil {
			return err
		}
		ctx, cancel, deadline, err := withDeadline(r)
		if err != nil {
			return err
		}
		defer cancel()
		call.Deadline = deadline
		k, err := e.newKeyedCall(r, c, body, call.Service.Idempotent)
		if err != nil {
			return err
		}
		timer := e.metrics.timer(c, time.Now())
		if k != nil {
			return e.keyedCompletion(ctx, w, k, call, request, timer)
		}
		writer := &completion.Writer{ID: c.id, Created: time.Now().Unix(), Request: request}
		if request.Stream {
			return e.streamed(ctx, w, call, writer, timer)
		}
		return e.whole(ctx, w, call, writer, timer)
	}
}

// readBody reads the whole body, within its bounds of size and time. The host's
// shutdown ends it, as the work would not be begun.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	boundBody(w, bodyTimeout)
	stop := stopReading(w, e.shutdown.refusing)
	body, err := readWhole(w, r)
	if !stop() {
		return nil, shuttingDown()
	}
	boundBody(w, 0)
	return body, err
}

func readWhole(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		failure := invalid("body", "the body exceeds the size limit")
		failure.Status, failure.Code = http.StatusRequestEntityTooLarge, CodeTooLarge
		return nil, failure
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		failure := invalid("body", "the body did not arrive in time")
		failure.Status, failure.Code = http.StatusRequestTimeout, CodeBodyTimeout
		return nil, failure
	}
	if err != nil {
		return nil, invalid("body", "the body was not read: "+err.Error())
	}
	return body, nil
}

// boundBody sets the time in which the rest of the body has to arrive; zero
// takes the bound away.
func boundBody(w http.ResponseWriter, within time.Duration) {
	var deadline time.Time
	if within > 0 {
		deadline = time.Now().Add(within)
	}
	// Writers of tests know no deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

func newCall(c *caller, request *completion.Request) (*dispatch.Call, error) {
	service, err := modelService(c, request.Service())
	if err != nil {
		return nil, err
	}
	c.service = service.Name
	adapter := request.Adapter()
	if adapter != "" && !contains(service.Adapters, adapter) {
		return nil, modelNotFound("no adapter " + adapter + " of service " + service.Name)
	}
	return &dispatch.Call{
		RequestID: c.id,
		Customer:  c.customer,
		Service:   service,
		Class:     c.class,
		Adapter:   adapter,
		Prompt:    request.FullPrompt(),
		Parts:     request.SharedParts(),
		MaxTokens: request.Limit(service.MaxTokens),
		Sampling:  request.Sampling,
	}, nil
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// withDeadline bounds the request by the caller's deadline, if it gave one; the
// time returned is zero otherwise.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, time.Time{}, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return nil, nil, time.Time{}, invalid(HeaderDeadline, "the deadline is not a positive number of milliseconds")
	}
	deadline := time.Now().Add(time.Duration(millis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	return ctx, cancel, deadline, nil
}

func (e *Entry) whole(ctx context.Context, w http.ResponseWriter, call *dispatch.Call, writer *completion.Writer, timer *tokenTimer) error {
	ctx, cancel := until(ctx, e.shutdown.ending)
	defer cancel()
	var tokens []string
	result, err := e.opts.Dispatcher.Stream(ctx, call, func(_ int, token string) error {
		timer.token(time.Now())
		tokens = append(tokens, token)
		return nil
	})
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRunState, string(dispatch.Completed))
	httpjson.WriteJSON(w, http.StatusOK, writer.Whole(tokens, result.Finish))
	e.record(call.RequestID, "completed", "")
	return nil
}

// streamed answers token by token. The header goes out with the first token,
// so a failure before it is still an ordinary error answer; the run state of a
// streamed answer is a trailer.
func (e *Entry) streamed(ctx context.Context, w http.ResponseWriter, call *dispatch.Call, writer *completion.Writer, timer *tokenTimer) error {
	ctx, cancel := until(ctx, e.shutdown.ending)
	defer cancel()
	events := sse.NewWriter(w)
	started := false
	result, err := e.opts.Dispatcher.Stream(ctx, call, func(offset int, token string) error {
		timer.token(time.Now())
		if !started {
			started = true
			startStream(w)
		}
		return events.WriteJSON(writer.Token(offset, token))
	})
	if err != nil {
		return e.breakStream(w, events, started, call.RequestID, err)
	}
	if !started {
		startStream(w)
	}
	if err := events.WriteJSON(writer.End(result.Tokens, result.Finish)); err != nil {
		return nil
	}
	_ = events.Write([]byte(sseDone))
	w.Header().Set(HeaderRunState, string(dispatch.Completed))
	e.record(call.RequestID, "completed", "")
	return nil
}

func startStream(w http.ResponseWriter) {
	w.Header().Del(HeaderRunState)
	w.Header().Set("Trailer", HeaderRunState+", "+HeaderRecording)
	w.Header().Set(headerContentType, sse.ContentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

// breakStream ends a started stream with an error event; before the start the
// error is answered as usual.
func (e *Entry) breakStream(w http.ResponseWriter, events *sse.Writer, started bool, id string, err error) error {
	if !started {
		return err
	}
	failure := e.failure(err)
	if failure.shutdown {
		e.noteShutdown(id, shutdownBrokenOff, err)
	}
	e.record(id, "failed", failure.Error())
	_ = events.WriteJSON(failure.body())
	w.Header().Set(HeaderRunState, string(failure.RunState))
	return nil
}
