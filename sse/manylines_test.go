package sse

import (
	"runtime"
	"strings"
	"testing"
)

// TestEventOfManyLinesIsParsedInLinearSpace guards against an endpoint that keeps a host busy with one
// event: joining its lines one by one took gigabytes for an event within the limit.
func TestEventOfManyLinesIsParsedInLinearSpace(t *testing.T) {
	const line = "data:x\n"
	lines := MaxEventBytes/len(line) - 1
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b, err := NewSplitter(strings.NewReader(strings.Repeat(line, lines) + "\n")).Next()
	runtime.ReadMemStats(&after)
	if err != nil || len(b.Events) != 1 || string(b.Events[0].Data) != strings.Repeat("x\n", lines-1)+"x" {
		t.Fatalf("%d events, error %v", len(b.Events), err)
	}
	const maxAllocated = 16 * MaxEventBytes
	if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocated {
		t.Errorf("%d bytes were allocated for an event of %d", got, MaxEventBytes)
	}
}

// TestJoinedLinesDoNotOverwriteTheBlock checks that the data of an event of several lines leave the
// bytes that are passed on as they were.
func TestJoinedLinesDoNotOverwriteTheBlock(t *testing.T) {
	const text = "id: 1\ndata: a\ndata: b\ndata: c\n\nid: 2\ndata: d\n\n"
	b, err := NewSplitter(strings.NewReader(text)).Next()
	if err != nil || string(b.Bytes) != text || len(b.Events) != 2 || string(b.Events[0].Data) != "a\nb\nc" || string(b.Events[1].Data) != "d" {
		t.Errorf("block %q, events %q, error %v", b.Bytes, b.Events, err)
	}
}
