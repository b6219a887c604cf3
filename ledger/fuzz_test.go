package ledger

import (
	"testing"

	"github.com/peridotmount/peridotmount/lease"
)

// FuzzDecode decodes arbitrary bytes as a record. A record that decodes must be
// applied without a panic, and must encode to bytes that decode again.
func FuzzDecode(f *testing.F) {
	place := NewPlace(3, 1)
	for _, r := range []Record{
		{Claim: &lease.Claim{Holder: "a", Previous: lease.NoEpoch}},
		{Epoch: 0, Seq: 1, Release: true},
		{Epoch: 0, Seq: 1, Entries: []Entry{itemsEntry("1", 0, 2), commitEntry("1", "d", 2), doneEntry(0, `1`)}},
		{Epoch: 0, Seq: 1, Entries: []Entry{{CarriedFrom: &place, RequestDone: &RequestDone{ID: "r"}}}},
		{Epoch: 0, Seq: 1, Entries: []Entry{{Snapshot: &SnapshotChunk{ID: "s", Last: true, Data: []byte(`{}`)}}}},
	} {
		data, err := r.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		p := NewReplayer()
		p.Apply(0, &Record{Claim: &lease.Claim{Holder: "a", Previous: lease.NoEpoch}})
		p.Apply(1, r)
		p.State().LiveOffsetsBefore(1 << 40)
		p.State().LiveEntries(1, r)
		p.SeekSnapshot(0, 0)
		p.Apply(0, r)
		encoded, err := r.Encode()
		if err != nil {
			t.Fatalf("a decoded record does not encode: %v", err)
		}
		if _, err := Decode(encoded); err != nil {
			t.Fatalf("an encoded record does not decode: %v", err)
		}
	})
}

// FuzzDecodeState decodes arbitrary bytes as a snapshot; a state that decodes must
// encode and list its live records without a panic.
func FuzzDecodeState(f *testing.F) {
	f.Add(NewState().Encode())
	f.Add([]byte(`{"jobs":[{"commit":{"job":"j","count":1},"status":"in_progress","chunks":"AAA=","items":"AAAA"}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s, err := DecodeState(data)
		if err != nil {
			return
		}
		s.Encode()
		s.LiveOffsetsBefore(1 << 40)
	})
}
