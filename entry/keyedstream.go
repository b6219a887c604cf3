package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/sse"
)

// keyedStream writes a run as an event stream, from behind the last event that
// the caller has. Invariant: nothing is written before the tokens that the
// caller has are proved to be those of the run.
type keyedStream struct {
	w       http.ResponseWriter
	events  *sse.Writer
	writer  *completion.Writer
	call    *keyedCall
	run     *run
	prefix  *prefixHash
	timer   *tokenTimer
	started bool
	// proved tells that the caller's tokens are those of the run.
	proved bool
	count  int
}

func (e *Entry) keyedStream(ctx context.Context, w http.ResponseWriter, k *keyedCall, r *run, writer *completion.Writer, timer *tokenTimer) error {
	s := &keyedStream{
		timer:  timer,
		w:      w,
		events: sse.NewWriter(w),
		writer: writer,
		call:   k,
		run:    r,
		prefix: newPrefixHash(),
		proved: k.resume == nil,
	}
	end, err := r.follow(ctx, s.token)
	if errors.Is(err, errOtherTokens) {
		return notResumable(err.Error())
	}
	if err == nil && end.Failure != nil {
		err = end.Failure
	}
	if err == nil && !s.proved {
		return notResumable(errOtherTokens.Error())
	}
	if err != nil {
		return e.breakStream(w, s.events, s.started, k.id, err)
	}
	return s.finish(end)
}

// token handles the token at an offset and writes it if the caller lacks it.
func (s *keyedStream) token(offset int, token string) error {
	prefix := s.prefix.add(token)
	s.count = offset + 1
	if resume := s.call.resume; resume != nil && offset <= resume.offset {
		if offset < resume.offset {
			return nil
		}
		if prefix != resume.prefix {
			return errOtherTokens
		}
		s.proved = true
		return nil
	}
	s.start()
	s.timer.token(time.Now())
	id := eventID{request: s.call.id, offset: offset, prefix: prefix, at: s.run.place()}
	data, err := json.Marshal(s.writer.Token(offset, token))
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return s.events.WriteEvent(id.String(), data)
}

func (s *keyedStream) start() {
	if s.started {
		return
	}
	s.started = true
	startStream(s.w)
}

func (s *keyedStream) finish(end *answer) error {
	s.start()
	finish := ""
	if end.Completion != nil {
		finish = end.Completion.Finish
	}
	if err := s.events.WriteJSON(s.writer.End(s.count, finish)); err != nil {
		return nil
	}
	_ = s.events.Write([]byte(sseDone))
	s.w.Header().Set(HeaderRunState, string(dispatch.Completed))
	s.w.Header().Set(HeaderRecording, recordingState(s.run))
	return nil
}
