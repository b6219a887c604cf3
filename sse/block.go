package sse

import (
	"bytes"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// Block contains one or more complete events or comments.
type Block struct {
	// Bytes is the block as received, valid until the next call of Next.
	Bytes []byte
	// Events holds the parsed events in order, valid until the next call of Next. It
	// is empty if the block contains only comments.
	Events []Event
}

// Event is one event of a stream.
type Event struct {
	// ID is the value of the id field, or "" if there is none.
	ID string
	// Data is the event's payload. Multiple data lines are joined by line feeds.
	Data []byte
}

// Splitter splits a stream into blocks of complete events.
type Splitter struct {
	r io.Reader
	// buf holds the bytes read; Next has returned buf[:consumed].
	buf      []byte
	consumed int
	events   []Event
}

// splitterBytes is the initial buffer size: enough for several events of about 60
// bytes.
const splitterBytes = 1 << 10

// NewSplitter returns a Splitter that reads from r.
func NewSplitter(r io.Reader) *Splitter {
	return &Splitter{r: r, buf: make([]byte, 0, splitterBytes)}
}

// Next returns all complete events and comments received so far, and blocks until
// there is at least one. It returns io.EOF at the end of the stream,
// ErrEventTooLarge if more than MaxEventBytes arrive without the end of an event,
// ErrNoEvent if the bytes are neither events nor comments, and errors of the reader
// unwrapped.
func (s *Splitter) Next() (Block, error) {
	rest := copy(s.buf, s.buf[s.consumed:])
	s.buf, s.consumed = s.buf[:rest], 0
	scanned := 0
	for {
		if end := lastEventEnd(s.buf, scanned); end > 0 {
			s.consumed = end
			var err error
			if s.events, err = parseEvents(s.events[:0], s.buf[:end]); err != nil {
				return Block{}, err
			}
			return Block{Bytes: s.buf[:end], Events: s.events}, nil
		}
		if len(s.buf) > MaxEventBytes {
			return Block{}, ErrEventTooLarge
		}
		scanned = len(s.buf)
		if err := s.fill(); err != nil {
			return Block{}, err
		}
	}
}

// Remainder returns the bytes received after the last complete event.
func (s *Splitter) Remainder() []byte {
	return s.buf[s.consumed:]
}

// InsideEvent reports whether the remainder holds a part of an event. Comments and empty
// lines are no events.
func (s *Splitter) InsideEvent() bool {
	for _, line := range bytes.Split(s.Remainder(), []byte("\n")) {
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

func (s *Splitter) fill() error {
	if cap(s.buf)-len(s.buf) < splitterBytes/2 {
		grown := make([]byte, len(s.buf), 2*cap(s.buf)+splitterBytes)
		copy(grown, s.buf)
		s.buf = grown
	}
	n, err := s.r.Read(s.buf[len(s.buf):cap(s.buf)])
	s.buf = s.buf[:len(s.buf)+n]
	if n > 0 {
		// The reader returns the error again on the next read.
		return nil
	}
	if err == nil {
		return errors.WithStack(io.ErrNoProgress)
	}
	return err
}

// lastEventEnd returns the total length of the complete events at the start of b, or
// 0. The first scanned bytes are known to contain no event end and are skipped, so
// that an event which an endpoint sends byte by byte does not cost quadratic time.
func lastEventEnd(b []byte, scanned int) int {
	end := 0
	from := max(0, scanned-len("\r\n\r"))
	if i := bytes.LastIndex(b[from:], []byte("\n\n")); i >= 0 {
		end = from + i + 2
	}
	if i := bytes.LastIndex(b[from:], []byte("\r\n\r\n")); i >= 0 {
		end = max(end, from+i+4)
	}
	return end
}

// parseEvents appends the events in b to events; their data may alias b. Comments, reconnection
// times and events with neither an id nor data are skipped: endpoints send them as keep-alives. It returns ErrNoEvent
// if a line is no field, or an event has neither id nor data: such bytes are no part of the
// stream, but for example an error that an endpoint wrote into it.
func parseEvents(events []Event, b []byte) ([]Event, error) {
	var event Event
	hasField, hasOther, joined := false, false, false
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		b = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			if hasOther && !hasField {
				return nil, errors.WithStack(ErrNoEvent)
			}
			if event.ID != "" || len(event.Data) > 0 {
				events = append(events, event)
			}
			event, hasField, hasOther, joined = Event{}, false, false, false
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			event.ID, hasField = string(value), true
		case "data":
			if event.Data != nil && !joined {
				// The data may alias b: what is appended must not overwrite it.
				event.Data, joined = slices.Clip(event.Data), true
			}
			event.Data, hasField = joinLines(event.Data, value), true
		case "retry":
		case "":
			// A comment.
		default:
			if hasOther = true; !found || !isFieldName(name) {
				return nil, errors.WithStack(ErrNoEvent)
			}
		}
	}
	return events, nil
}

// isFieldName reports whether name consists of letters, digits, hyphens and underscores.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// joinLines returns an event's data extended by one line.
func joinLines(data, line []byte) []byte {
	if data == nil {
		return line
	}
	return append(append(data, '\n'), line...)
}
