package publication

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/objects"
)

const (
	// chunkWindow bounds the distance in records from a change back to its chunks,
	// and so the chunks that readers retain. All readers must use the same value
	// to reach the same verdicts.
	chunkWindow = 512
	// chunkBytes is the approximate maximum size of a record.
	chunkBytes = 64 << 10
	// refBytes is the approximate encoded size of an object's reference.
	refBytes = 100
)

// split distributes objects and references over chunks of about limit bytes.
func split(id string, refresh bool, put []objects.Object, deleted []objects.Ref, limit int) ([]Chunk, error) {
	var out []Chunk
	size := limit
	chunkFor := func(bytes int) *Chunk {
		if size+bytes > limit {
			out = append(out, Chunk{ID: id, Index: len(out), Refresh: refresh})
			size = 0
		}
		size += bytes
		return &out[len(out)-1]
	}
	for i := range put {
		data, err := json.Marshal(&put[i])
		if err != nil {
			return nil, errors.Wrap(ErrMalformed, err.Error())
		}
		c := chunkFor(len(data))
		c.Put = append(c.Put, put[i])
	}
	for _, ref := range deleted {
		c := chunkFor(refBytes)
		c.Delete = append(c.Delete, ref)
	}
	return out, nil
}
