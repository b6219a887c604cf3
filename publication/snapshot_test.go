package publication

import (
	"encoding/json"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/objects"
)

// replicaWithChanges returns a replica that has replayed n changes.
func replicaWithChanges(t *testing.T, n int) *Replica {
	t.Helper()
	r := NewReplica()
	for i := range n {
		change := Change{ID: string(rune('a' + i)), Base: r.Current().Number, Put: []objects.Object{testModel("m", 1+i)}}
		data, err := json.Marshal(Record{Change: &change})
		if err != nil {
			t.Fatal(err)
		}
		if v := r.Apply(int64(i), data); v.Outcome != Applied {
			t.Fatal(v.Cause)
		}
	}
	return r
}

func TestAdoptNeverFallsBack(t *testing.T) {
	old, _ := replicaWithChanges(t, 2).Snapshot()
	r := replicaWithChanges(t, 3)
	if r.Adopt(&old) || r.Current().Number != 2 || r.Next() != 3 {
		t.Errorf("adopted an older state: revision %d, next %d", r.Current().Number, r.Next())
	}
	newer, _ := r.Snapshot()
	older := replicaWithChanges(t, 1)
	if !older.Adopt(&newer) || older.Current().Number != 2 || older.Next() != 3 {
		t.Errorf("did not adopt a newer state: revision %d, next %d", older.Current().Number, older.Next())
	}
}

// TestChunksOutsideWindowAreRejected checks both sides of the bound: readers retain
// exactly the chunks to which a change may refer.
func TestChunksOutsideWindowAreRejected(t *testing.T) {
	for distance, want := range map[int64]error{chunkWindow - 1: nil, chunkWindow: ErrChunksMissing} {
		r := NewReplica()
		chunk, _ := json.Marshal(Record{Chunk: &Chunk{ID: "c", Put: []objects.Object{testModel("m", 5)}}})
		r.Apply(0, chunk)
		for r.Next() < distance {
			r.Apply(r.Next(), []byte(`{}`))
		}
		change, _ := json.Marshal(Record{Change: &Change{ID: "c", Base: NoRevision, Chunks: []int64{0}}})
		if v := r.Apply(distance, change); !errors.Is(v.Cause, want) {
			t.Errorf("chunk %d records back: %v, want %v", distance, v.Cause, want)
		}
		if len(r.chunks) > 1 {
			t.Errorf("%d chunks are kept", len(r.chunks))
		}
	}
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"change":{"id":"a","base":-1,"put":[{"kind":"model","name":"m"}]}}`))
	f.Add([]byte(`{"chunk":{"id":"a"}}`))
	f.Add([]byte(`{"refresh":{"through":3,"chunks":[1,2]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReplica()
		r.Apply(0, data)
		incomplete := NewReplica()
		incomplete.MarkTrimmed(1)
		incomplete.Apply(1, data)
		if r.Next() != 1 || incomplete.Next() < 2 {
			t.Errorf("next is %d and %d", r.Next(), incomplete.Next())
		}
	})
}
