package publication

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/peridotmount/peridotmount/objects"
)

const designCustomers = 16_000

// designSet returns a set with the number of customers that the system is designed for.
func designSet() []objects.Object {
	list := []objects.Object{
		testModel("m", 100_000),
		{Ref: objects.Ref{Kind: objects.KindVersion, Name: "v"}, Fields: []objects.Field{{Name: "model", Value: "m"}}},
		{Ref: objects.Ref{Kind: objects.KindService, Name: "s"}, Fields: []objects.Field{
			{Name: "kind", Value: "model"}, {Name: "model", Value: "m"}, {Name: "version", Value: "v"},
		}},
	}
	for i := range designCustomers {
		list = append(list, objects.Object{
			Ref: objects.Ref{Kind: objects.KindCustomer, Name: fmt.Sprintf("customer-%05d", i)},
			Fields: []objects.Field{
				{Name: "key_sha256", Value: fmt.Sprintf("%064x", i)},
				{Name: "services", Value: "s"},
				{Name: "classes", Value: "online, batch"},
				{Name: "requests_per_second", Value: "20"},
			},
		})
	}
	return list
}

// replayDesignSet returns a replica that has replayed the design set from chunks.
func replayDesignSet(t testing.TB) *Replica {
	r := NewReplica()
	chunks, err := split("c", false, designSet(), nil, chunkBytes)
	if err != nil {
		t.Fatal(err)
	}
	change := Change{ID: "c", Base: NoRevision}
	for i := range chunks {
		data, _ := json.Marshal(Record{Chunk: &chunks[i]})
		if len(data) > 2*chunkBytes {
			t.Fatalf("chunk of %d bytes", len(data))
		}
		r.Apply(int64(i), data)
		change.Chunks = append(change.Chunks, int64(i))
	}
	data, _ := json.Marshal(Record{Change: &change})
	if v := r.Apply(int64(len(chunks)), data); v.Outcome != Applied {
		t.Fatalf("%s: %v", v.Outcome, v.Cause)
	}
	return r
}

func TestDesignSetIsSplitIntoChunks(t *testing.T) {
	r := replayDesignSet(t)
	if n := len(r.Current().Set.Customers); n != designCustomers {
		t.Errorf("%d customers in force", n)
	}
}

// BenchmarkApply applies a change of one customer among 16,000.
func BenchmarkApply(b *testing.B) {
	r := replayDesignSet(b)
	set := designSet()
	for i := 0; b.Loop(); i++ {
		o := set[3+i%designCustomers]
		o.Fields = append([]objects.Field(nil), o.Fields...)
		o.Fields[3].Value = fmt.Sprint(21 + i)
		change := Change{ID: fmt.Sprint(i), Base: r.Current().Number, Put: []objects.Object{o}}
		data, _ := json.Marshal(Record{Change: &change})
		if v := r.Apply(r.Next(), data); v.Outcome != Applied {
			b.Fatal(v.Cause)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/change")
}

// BenchmarkApplyWhole applies one change that adds 16,000 customers.
func BenchmarkApplyWhole(b *testing.B) {
	for b.Loop() {
		replayDesignSet(b)
	}
}
