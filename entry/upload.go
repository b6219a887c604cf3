package entry

import (
	"bufio"
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/keeper"
	"github.com/peridotmount/peridotmount/ledger"
)

// upload keeps a file chunk by chunk; each chunk holds whole lines.
type upload struct {
	keeper *keeper.Client
	lines  *lineChecker
	commit ledger.FileCommit
	chunk  []byte
}

func (u *upload) copy(ctx context.Context, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if err := u.lines.check(line); err != nil {
			return err
		}
		u.chunk = append(u.chunk, line...)
		u.chunk = append(u.chunk, '\n')
		if len(u.chunk) < fileChunkBytes {
			continue
		}
		if err := u.flush(ctx); err != nil {
			return err
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		u.lines.line++
		return u.lines.fault("the line exceeds the size limit")
	}
	if err := scanner.Err(); err != nil {
		return invalid("file", "the file was not read: "+err.Error())
	}
	return nil
}

func (u *upload) flush(ctx context.Context) error {
	if len(u.chunk) == 0 {
		return nil
	}
	err := u.keeper.PutChunk(ctx, ledger.FileChunk{
		File:  u.commit.File,
		Index: u.commit.Chunks,
		Data:  u.chunk,
	})
	if err != nil {
		return err
	}
	u.commit.Chunks++
	u.commit.Bytes += int64(len(u.chunk))
	u.chunk = u.chunk[:0]
	return nil
}

func (u *upload) finish(ctx context.Context) (*ledger.File, error) {
	if u.commit.Purpose != purposeBatch {
		return nil, invalid("purpose", "the purpose has to be "+purposeBatch)
	}
	if err := u.flush(ctx); err != nil {
		return nil, err
	}
	if u.commit.Chunks == 0 {
		return nil, invalid("file", "the file is missing or empty")
	}
	return u.keeper.CommitFile(ctx, u.commit)
}
