package sse

import (
	"bytes"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestReadWhatWasWritten(t *testing.T) {
	w := httptest.NewRecorder()
	out := NewWriter(w)
	if err := out.WriteEvent("id:1", []byte(`{"a":1}`)); err != nil {
		t.Fatal(err)
	}
	if err := out.Write([]byte("[DONE]")); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(w.Body.String(), "id: id:1\ndata: {") {
		t.Errorf("wrote %q, want the id line before the data line", w.Body.String())
	}
	r := NewReader(w.Body)
	for _, want := range []string{`{"a":1}`, "[DONE]"} {
		got, err := r.Next()
		if err != nil || string(got) != want {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("got error %v at the end of the stream, want io.EOF", err)
	}
}

func TestReaderBounds(t *testing.T) {
	r := NewReader(strings.NewReader("data: " + strings.Repeat("x", MaxEventBytes+1)))
	if _, err := r.Next(); !errors.Is(err, ErrEventTooLarge) {
		t.Errorf("got error %v, want ErrEventTooLarge", err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("data: {}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 1\r\nevent: x\r\ndata:a\r\n\r\n: comment\n"))
	f.Add([]byte("data"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		total := 0
		for {
			event, err := r.Next()
			if err != nil {
				break
			}
			total += len(event)
			if bytes.ContainsAny(event, "\n") || total > len(data) {
				t.Fatalf("event %q contains a line feed, or the events exceed the input", event)
			}
		}
	})
}
