package sse

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Block is one or more whole events or comments, as they were received.
type Block struct {
	// Bytes are valid until the next call.
	Bytes []byte
	// Events are in order and valid until the next call; there are none if only
	// comments came.
	Events []Event
}

// Event is one event of a stream.
type Event struct {
	// ID is "" if the event has none.
	ID string
	// Data is the event's data; lines are joined by line feeds.
	Data []byte
}

// Splitter cuts a stream into blocks of whole events.
type Splitter struct {
	r io.Reader
	// buf holds what was read; buf[:passed] was returned before.
	buf    []byte
	passed int
	events []Event
}

// splitterBytes is the size of a read: several events of some 60 bytes.
const splitterBytes = 1 << 10

// NewSplitter returns a Splitter of r.
func NewSplitter(r io.Reader) *Splitter {
	return &Splitter{r: r, buf: make([]byte, 0, splitterBytes)}
}

// Next returns the events and comments that have arrived, at least one. At the end of the
// stream it returns io.EOF; an error of the reader is returned as it is.
func (s *Splitter) Next() (Block, error) {
	rest := copy(s.buf, s.buf[s.passed:])
	s.buf, s.passed = s.buf[:rest], 0
	scanned := 0
	for {
		if end := lastEventEnd(s.buf, scanned); end > 0 {
			s.passed = end
			s.events = parseEvents(s.events[:0], s.buf[:end])
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

// Rest returns the bytes behind the last whole event.
func (s *Splitter) Rest() []byte {
	return s.buf[s.passed:]
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
		// An error comes back with the next read.
		return nil
	}
	if err == nil {
		return errors.WithStack(io.ErrNoProgress)
	}
	return err
}

// lastEventEnd returns the length of the whole events at the start of b, of which the
// first scanned bytes hold no end. An endpoint may send a large event byte by byte.
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

// parseEvents appends the events in b, which share its memory. Comments and events
// without id and data are none: endpoints send them to show that they are there.
func parseEvents(events []Event, b []byte) []Event {
	var event Event
	filled := false
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		b = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			if filled {
				events = append(events, event)
			}
			event, filled = Event{}, false
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			event.ID, filled = string(value), true
		case "data":
			event.Data, filled = joinLines(event.Data, value), true
		}
	}
	return events
}

// joinLines returns the data of an event with one more line.
func joinLines(data, line []byte) []byte {
	if data == nil {
		return line
	}
	joined := make([]byte, 0, len(data)+1+len(line))
	joined = append(joined, data...)
	joined = append(joined, '\n')
	return append(joined, line...)
}
