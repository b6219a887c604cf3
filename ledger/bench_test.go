package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/peridotmount/peridotmount/lease"
)

const (
	benchItems    = 310_000
	benchPerChunk = 2000
)

// largeJob returns the encoded records of a job of benchItems items, a third of
// which have a result.
func largeJob(b *testing.B) [][]byte {
	b.Helper()
	var out [][]byte
	seq := int64(0)
	add := func(entries ...Entry) {
		seq++
		data, err := (&Record{Epoch: 0, Seq: seq, TimeMillis: seq, Entries: entries}).Encode()
		if err != nil {
			b.Fatal(err)
		}
		out = append(out, data)
	}
	claim, err := (&Record{Claim: &lease.Claim{Holder: "a", Incarnation: 1, Previous: lease.NoEpoch}}).Encode()
	if err != nil {
		b.Fatal(err)
	}
	out = append(out, claim)
	body := []byte(`{"model":"towel-writer","max_tokens":5,"messages":[{"role":"user","content":"a caption for a kiln load"}]}`)
	for first := 0; first < benchItems; first += benchPerChunk {
		c := &JobItems{Job: "j", Attempt: "1", First: first}
		for i := range benchPerChunk {
			c.Items = append(c.Items, Item{CustomID: fmt.Sprintf("item-%d", first+i), Body: body})
		}
		add(Entry{JobItems: c})
	}
	add(Entry{JobCommit: &JobCommit{Job: "j", Attempt: "1", Customer: "c", Count: benchItems}})
	for first := 0; first < benchItems/3; first += benchPerChunk {
		var done []Entry
		for i := range benchPerChunk {
			done = append(done, Entry{ItemDone: &ItemDone{Job: "j", Index: first + i, Body: body}})
		}
		add(done...)
	}
	return out
}

func replay(b *testing.B, records [][]byte) *State {
	b.Helper()
	s := NewState()
	for offset, data := range records {
		r, err := Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		if v := s.Apply(int64(offset), r); v != Valid {
			b.Fatalf("record %d: verdict %d", offset, v)
		}
	}
	return s
}

// BenchmarkReplay decodes and replays the records of a job of 310,000 items, a third
// of which have a result.
func BenchmarkReplay(b *testing.B) {
	records := largeJob(b)
	b.ResetTimer()
	for b.Loop() {
		replay(b, records)
	}
}

// BenchmarkRestore decodes a snapshot of the job of BenchmarkReplay.
func BenchmarkRestore(b *testing.B) {
	image := replay(b, largeJob(b)).Encode()
	for b.Loop() {
		if _, err := DecodeState(image); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(image))/benchItems, "image-bytes/item")
}

// BenchmarkItemMemory reports the heap bytes per item of a replayed job.
func BenchmarkItemMemory(b *testing.B) {
	records := largeJob(b)
	for b.Loop() {
		before := heapBytes()
		s := replay(b, records)
		b.ReportMetric(float64(heapBytes()-before)/benchItems, "heap-bytes/item")
		runtime.KeepAlive(s)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
