package sse

import (
	"io"
	"strings"
	"testing"
)

// TestCommentsAreNoEvents passes comments and empty events on as they are, and counts
// none of them: a stream goes on behind its last event, not behind a comment.
func TestCommentsAreNoEvents(t *testing.T) {
	const stream = ": hello\n\nid: 1\ndata: a\n\nretry: 10\n\n: x\nid: 2\ndata: b\ndata: c\n\n:\n\n"
	s := NewSplitter(strings.NewReader(stream))
	passed, order := "", NewOrder("")
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
		passed += string(block.Bytes)
		for i := range block.Events {
			data = append(data, string(block.Events[i].Data))
		}
	}
	if passed != stream || strings.Join(data, "|") != "a|b\nc" || order.Last != "2" {
		t.Errorf("passed %q, data %q, last event %s", passed, data, order.Last)
	}
}

// TestEventsWithoutEndAreGivenUp bounds what is kept of one event.
func TestEventsWithoutEndAreGivenUp(t *testing.T) {
	s := NewSplitter(io.MultiReader(strings.NewReader("data: "), &repeated{piece: "x\ny: "}))
	if _, err := s.Next(); err != ErrEventTooLarge {
		t.Errorf("error %v", err)
	}
	if cap(s.buf) > 4*MaxEventBytes {
		t.Errorf("%d bytes kept", cap(s.buf))
	}
}

// repeated reads a piece again and again.
type repeated struct{ piece string }

func (r *repeated) Read(p []byte) (int, error) {
	return copy(p, r.piece), nil
}
