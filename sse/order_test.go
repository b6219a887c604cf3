package sse

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// TestEventsAreConsecutive checks what may follow the event behind which a stream goes on, and
// which streams may go on again.
func TestEventsAreConsecutive(t *testing.T) {
	for _, c := range []struct {
		after  string
		stream string
		// last and unnumbered are what the checker then tells.
		last       string
		unnumbered bool
		err        error
	}{
		{"", "id: 1\n\nid: 2\n\n", "2", false, nil},
		{"", "id: 7\n\nid: 8\n\n", "8", false, nil},
		{"3", "id: 4\ndata: a\n\n", "4", false, nil},
		{"3", ": on\n\ndata\n\nid: 4\n\n", "4", false, nil},
		{"3", "id: 3\n\n", "3", false, ErrOrder},
		{"3", "id: 5\n\n", "3", false, ErrOrder},
		{"3", "id: 1\n\n", "3", false, ErrOrder},
		{"3", "data: a\n\n", "3", false, ErrOrder},
		{"3", "id: a\n\n", "3", false, ErrOrder},
		{"3", "id: -4\n\n", "3", false, ErrOrder},
		{"", "data: a\n\ndata: b\n\n", "", true, nil},
		{"", "data: a\n\nid: 1\n\n", "1", true, nil},
		{"", "id: 1\n\ndata: end\n\n", "1", true, nil},
		{"", "id: 1\n\ndata: a\n\nid: 3\n\n", "1", true, ErrOrder},
		{"3", "id: 4\n\ndata: end\n\n", "4", true, nil},
		{"x", "id: a\n\n", "x", true, nil},
	} {
		block, err := NewSplitter(strings.NewReader(c.stream)).Next()
		if err != nil {
			t.Fatal(err)
		}
		o := NewOrderChecker(c.after)
		if err := o.Check(block.Events); !errors.Is(err, c.err) || o.LastID != c.last || o.Unnumbered != c.unnumbered {
			t.Errorf("%q behind %q: error %v, %+v", c.stream, c.after, err, o)
		}
	}
}
