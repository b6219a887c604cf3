package publication

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// chunksPerAppend is the maximum number of records in one append.
const chunksPerAppend = 16

// appendChunks appends chunks and returns their offsets, found by reading the stream
// back from offset from.
func appendChunks(ctx context.Context, l platform.Log, from int64, chunks []Chunk) ([]int64, error) {
	for i := 0; i < len(chunks); i += chunksPerAppend {
		var records [][]byte
		for j := i; j < min(i+chunksPerAppend, len(chunks)); j++ {
			data, err := json.Marshal(Record{Chunk: &chunks[j]})
			if err != nil {
				return nil, errors.Wrap(ErrMalformed, err.Error())
			}
			records = append(records, data)
		}
		// A lost response is harmless, as the chunks are read back.
		if _, err := l.Append(ctx, Stream, records); err != nil && !errors.Is(err, platform.ErrUnavailable) {
			return nil, err
		}
	}
	return locateChunks(ctx, l, from, chunks)
}

// locateChunks finds chunks in the stream by their ID and index.
func locateChunks(ctx context.Context, l platform.Log, from int64, chunks []Chunk) ([]int64, error) {
	found := make(map[int]int64, len(chunks))
	for {
		page, err := l.Read(ctx, Stream, from, readLimit)
		if err != nil {
			return nil, err
		}
		for i := range page.Records {
			var record Record
			if json.Unmarshal(page.Records[i].Data, &record) == nil && record.Chunk != nil && record.Chunk.ID == chunks[0].ID {
				found[record.Chunk.Index] = page.Records[i].Offset
			}
		}
		from = page.Next
		if from >= page.End {
			break
		}
	}
	offsets := make([]int64, len(chunks))
	for i := range chunks {
		at, ok := found[i]
		if !ok {
			return nil, errors.Wrapf(ErrChunksMissing, "chunk %d was not appended", i)
		}
		offsets[i] = at
	}
	return offsets, nil
}

// AppendRefresh appends a refresh with the state s. Errors are those of the log,
// ErrChunksMissing and ErrMalformed; a failed refresh has no effect.
func AppendRefresh(ctx context.Context, l platform.Log, id string, s *Snapshot) error {
	return appendRefresh(ctx, l, id, s, chunkBytes)
}

func appendRefresh(ctx context.Context, l platform.Log, id string, s *Snapshot, limit int) error {
	refresh := Refresh{Snapshot: *s}
	refresh.Objects = nil
	if len(s.Objects) > 0 {
		chunks, err := split(id, true, s.Objects, nil, limit)
		if err != nil {
			return err
		}
		if refresh.Chunks, err = appendChunks(ctx, l, s.Through+1, chunks); err != nil {
			return err
		}
	}
	data, err := json.Marshal(Record{Refresh: &refresh})
	if err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	_, err = l.Append(ctx, Stream, [][]byte{data})
	return err
}

// moveToChunks moves the content of a change that exceeds one record into chunks.
func moveToChunks(ctx context.Context, l platform.Log, from int64, c Change, limit int) (Change, error) {
	chunks, err := split(c.ID, false, c.Put, c.Delete, limit)
	if err != nil || len(chunks) <= 1 {
		return c, err
	}
	c.Chunks, err = appendChunks(ctx, l, from, chunks)
	c.Put, c.Delete = []objects.Object(nil), nil
	return c, err
}
