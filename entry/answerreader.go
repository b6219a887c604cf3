package entry

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// answerReader reads the answers of plain services whole, within memory that all of them share: an
// endpoint may send without end.
type answerReader struct {
	shared *semaphore.Weighted
	// overflow lets one answer at a time be read to its end while the shared memory is used up:
	// answers that are read in part would wait for each other otherwise.
	overflow *semaphore.Weighted
	// blocks are used again, so that answers that are given up leave no garbage.
	blocks sync.Pool
}

func newAnswerReader() *answerReader {
	return &answerReader{
		shared: semaphore.NewWeighted(sharedAnswerBytes), overflow: semaphore.NewWeighted(1),
		blocks: sync.Pool{New: func() any { return new([answerBlockBytes]byte) }},
	}
}

// read reads an answer to its end. It waits for memory until ctx ends. An answer over maxPlainBytes
// is an error.
func (a *answerReader) read(ctx context.Context, r io.Reader) ([]byte, error) {
	var blocks [][]byte
	shared, overflow := int64(0), int64(0)
	defer func() {
		for _, b := range blocks {
			a.blocks.Put((*[answerBlockBytes]byte)(b[:answerBlockBytes]))
		}
		a.shared.Release(shared)
		a.overflow.Release(overflow)
	}()
	for size := 0; size <= maxPlainBytes; {
		// The first block of each answer is free.
		switch {
		case overflow > 0 || len(blocks) == 0:
		case a.shared.TryAcquire(answerBlockBytes):
			shared += answerBlockBytes
		default:
			if err := a.overflow.Acquire(ctx, 1); err != nil {
				return nil, errors.Wrapf(err, "no memory for an answer over %d bytes", size)
			}
			overflow = 1
		}
		block := a.blocks.Get().(*[answerBlockBytes]byte)[:]
		n, err := fill(block, r)
		blocks = append(blocks, block[:n])
		size += n
		if err == io.EOF && size <= maxPlainBytes {
			return bytes.Join(blocks, nil), nil
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
	}
	return nil, errors.Errorf("the answer exceeds %d bytes", maxPlainBytes)
}

// fill reads until the block is full or the answer ends. Unlike io.ReadFull it tells an answer that
// ended, io.EOF, from one that was cut off.
func fill(block []byte, r io.Reader) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = r.Read(block[n:])
		n += read
	}
	return n, err
}
