package entry

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
)

// endlessReader repeats a byte without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
}

// TestAnswersShareMemory guards against endpoints whose answers without end take a host's memory: the
// answers that are read at a time hold no more than the shared memory and one answer.
func TestAnswersShareMemory(t *testing.T) {
	a := newAnswerReader()
	var readers sync.WaitGroup
	for range 64 {
		readers.Go(func() {
			if _, err := a.read(t.Context(), endlessReader{}); err == nil || !strings.Contains(err.Error(), "exceeds 8388608 bytes") {
				t.Errorf("an answer without end: error %v", err)
			}
		})
	}
	readers.Wait()
	if !a.shared.TryAcquire(sharedAnswerBytes) || !a.overflow.TryAcquire(1) {
		t.Error("memory was not given back")
	}
}

// TestAnswersAreReadBesideFullMemory reads answers of all sizes while others hold the shared memory
// and send no more.
func TestAnswersAreReadBesideFullMemory(t *testing.T) {
	a := newAnswerReader()
	if !a.shared.TryAcquire(sharedAnswerBytes) {
		t.Fatal("the memory is taken")
	}
	var readers sync.WaitGroup
	for _, size := range []int{0, 1, answerBlockBytes - 1, answerBlockBytes, answerBlockBytes + 1, 1 << 20, maxPlainBytes - 1, maxPlainBytes} {
		readers.Go(func() {
			body, err := a.read(t.Context(), io.LimitReader(endlessReader{}, int64(size)))
			if err != nil || len(body) != size {
				t.Errorf("an answer of %d bytes: %d read, error %v", size, len(body), err)
			}
		})
	}
	readers.Wait()
}

// TestAnswerWaitsForMemoryUntilItsEnd gives up with the request, and takes small answers meanwhile.
func TestAnswerWaitsForMemoryUntilItsEnd(t *testing.T) {
	a := newAnswerReader()
	if !a.shared.TryAcquire(sharedAnswerBytes) || !a.overflow.TryAcquire(1) {
		t.Fatal("the memory is taken")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := a.read(ctx, io.LimitReader(endlessReader{}, 1<<20)); err == nil {
		t.Error("a large answer was read without memory")
	}
	if body, err := a.read(t.Context(), strings.NewReader("small")); err != nil || string(body) != "small" {
		t.Errorf("a small answer: %q, error %v", body, err)
	}
}

// TestAnswerThatIsCutOffIsNone keeps an answer that broke off from being taken for a whole one.
func TestAnswerThatIsCutOffIsNone(t *testing.T) {
	a := newAnswerReader()
	for _, size := range []int64{0, 1, answerBlockBytes, 1 << 20} {
		cut := io.MultiReader(io.LimitReader(endlessReader{}, size), iotest.ErrReader(io.ErrUnexpectedEOF))
		if body, err := a.read(t.Context(), cut); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("an answer cut off after %d bytes: %d read, error %v", size, len(body), err)
		}
	}
	if !a.shared.TryAcquire(sharedAnswerBytes) {
		t.Error("memory was not given back")
	}
}
