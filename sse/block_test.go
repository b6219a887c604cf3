package sse

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// TestCommentsAreNoEvents checks that comments and empty events are returned
// unchanged in Block.Bytes but not parsed as events: a stream is resumed after its
// last event, and a comment must not change that position.
func TestCommentsAreNoEvents(t *testing.T) {
	const stream = ": hello\n\nid: 1\ndata: a\n\nretry: 10\n\n: x\nid: 2\ndata: b\ndata: c\n\n:\n\n"
	s := NewSplitter(strings.NewReader(stream))
	received, order := "", NewOrderChecker("")
	var data []string
	for {
		block, err := s.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := order.Check(block.Events); err != nil {
			t.Fatal(err)
		}
		received += string(block.Bytes)
		for i := range block.Events {
			data = append(data, string(block.Events[i].Data))
		}
	}
	if received != stream || strings.Join(data, "|") != "a|b\nc" || order.LastID != "2" {
		t.Errorf("blocks %q, data %q, last event ID %s", received, data, order.LastID)
	}
}

// TestEventsWithoutEndAreGivenUp guards against unbounded buffering of an event that
// never ends: Next fails once MaxEventBytes is exceeded.
func TestEventsWithoutEndAreGivenUp(t *testing.T) {
	s := NewSplitter(io.MultiReader(strings.NewReader("data: "), &endlessReader{piece: "x\ny: "}))
	if _, err := s.Next(); err != ErrEventTooLarge {
		t.Errorf("got error %v, want ErrEventTooLarge", err)
	}
	if cap(s.buf) > 4*MaxEventBytes {
		t.Errorf("%d bytes buffered, want at most 4*MaxEventBytes", cap(s.buf))
	}
}

// endlessReader returns the same piece on every read.
type endlessReader struct{ piece string }

func (r *endlessReader) Read(p []byte) (int, error) {
	return copy(p, r.piece), nil
}

// TestInsideEvent checks where a stream may end.
func TestInsideEvent(t *testing.T) {
	for rest, want := range map[string]bool{
		"": false, "\n": false, "\r\n": false, ": bye\n": false, ": by": false, "id": true, "id: 2\n": true, "data: a\r\n": true, ": x\ndata: ": true,
	} {
		s := NewSplitter(strings.NewReader("id: 1\ndata: a\n\n" + rest))
		for {
			if _, err := s.Next(); err != nil {
				break
			}
		}
		if got := s.InsideEvent(); got != want {
			t.Errorf("remainder %q: %v", rest, got)
		}
	}
}

// TestBytesThatAreNoEvent checks which bytes a stream may not hold between its events.
func TestBytesThatAreNoEvent(t *testing.T) {
	for inside, want := range map[string]bool{
		"":                            true,
		"\n\r\n":                      true,
		": comment\n\n":               true,
		"retry: 1\n\n":                true,
		"data\n\n":                    true,
		"x-weight-versions: 3\n":      true,
		"event: token\n":              true,
		"event: error\n\n":            false,
		"failed\n":                    false,
		"failed\n\n":                  false,
		": comment\nfailed\n\n":       false,
		"{\"error\": \"failed\"}\n":   false,
		"too busy: wait\n":            false,
		"X-Not-Run: 1\r\n\r\n":        false,
		"HTTP/1.1 503 Full\r\n\r\n":   false,
		"HTTP/1.1 503 Full\r\nA: b\n": false,
	} {
		s := NewSplitter(strings.NewReader("id: 1\ndata: a\n\n" + inside + "id: 2\ndata: b\n\n"))
		var err error
		for err == nil {
			_, err = s.Next()
		}
		if got := err == io.EOF; got != want || !got && !errors.Is(err, ErrNoEvent) {
			t.Errorf("%q: %v", inside, err)
		}
	}
}

// TestIsStream checks which responses are streams.
func TestIsStream(t *testing.T) {
	for contentType, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "": false, "text/plain": false, "application/json": false,
	} {
		if IsStream(200, contentType) != want || IsStream(204, contentType) || IsStream(503, contentType) {
			t.Errorf("type %q", contentType)
		}
	}
}
