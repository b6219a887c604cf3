package logring

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a reader of the log that takes nothing until it is released.
type stuck struct {
	mu       sync.Mutex
	buf      bytes.Buffer
	released chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// TestLoggingNeverWaits logs far more than the ring holds while nobody reads.
func TestLoggingNeverWaits(t *testing.T) {
	out := &stuck{released: make(chan struct{})}
	w := New(out, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = w.Serve(ctx); close(done) }()
	const lines = 3 * Lines
	for i := range lines {
		if n, err := fmt.Fprintf(w, "{\"line\":%d}\n", i); err != nil || n == 0 {
			t.Fatal(n, err)
		}
	}
	close(out.released)
	deadline := time.Now().Add(20 * time.Second)
	for !strings.Contains(out.text(), "log_lines_dropped") {
		if time.Now().After(deadline) {
			t.Fatal("the loss is not logged")
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(out.text(), `{"line":`)
	var dropped int
	text := out.text()
	if _, err := fmt.Sscanf(text[strings.Index(text, `{"event"`):], `{"event":"log_lines_dropped","lines":%d}`, &dropped); err != nil {
		t.Fatal(err)
	}
	if written+dropped != lines || dropped == 0 {
		t.Errorf("%d written and %d dropped of %d", written, dropped, lines)
	}
}
