package engine

import (
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/sse"
)

// httpStream checks that the frames it reads are those of its own stream, in
// order and without gap: frame i carries token offset next+i.
type httpStream struct {
	body   io.ReadCloser
	events *sse.Reader
	cancel context.CancelFunc
	id     string
	next   int
	done   bool
}

func newHTTPStream(body io.ReadCloser, cancel context.CancelFunc, id string, next int) *httpStream {
	return &httpStream{
		body:   body,
		events: sse.NewReader(body),
		cancel: cancel,
		id:     id,
		next:   next,
	}
}

// Next implements Stream.
func (s *httpStream) Next() (Frame, error) {
	if s.done {
		return Frame{}, io.EOF
	}
	data, err := s.events.Next()
	if err != nil {
		return Frame{}, errors.Wrap(ErrBroken, err.Error())
	}
	var f Frame
	if err := json.Unmarshal(data, &f); err != nil {
		return Frame{}, errors.Wrap(ErrBadFrame, err.Error())
	}
	return f, s.accept(f)
}

func (s *httpStream) accept(f Frame) error {
	if f.StreamID != s.id {
		return errors.Wrapf(ErrBadFrame, "frame of stream %q in stream %q", f.StreamID, s.id)
	}
	if f.Offset != s.next {
		return errors.Wrapf(ErrBadFrame, "offset %d, expected %d", f.Offset, s.next)
	}
	if f.Finish == "" {
		s.next++
		return nil
	}
	s.done = true
	if f.Finish == FinishCanceled {
		return ErrCanceled
	}
	return nil
}

// Close implements Stream.
func (s *httpStream) Close() error {
	s.cancel()
	return s.body.Close()
}
