package standin

import (
	"bytes"
	"context"
	"testing"
)

// TestLogKeepsLongRecords appends records that are longer than the store takes in
// one, and reads them back from each place where a read may begin.
func TestLogKeepsLongRecords(t *testing.T) {
	l := startLog(t, StoreFaults{})
	ctx := context.Background()
	long := bytes.Repeat([]byte("0123456789"), 150_000)
	want := [][]byte{[]byte("a"), long, {}, long[:300<<10], []byte("b")}
	var offsets []int64
	for _, record := range want {
		offset, err := l.Append(ctx, "s", [][]byte{record})
		if err != nil {
			t.Fatal(err)
		}
		offsets = append(offsets, offset)
	}
	for _, limit := range []int{1, 2, 100} {
		var got [][]byte
		for from := int64(0); ; {
			page, err := l.Read(ctx, "s", from, limit)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range page.Records {
				if r.Offset != offsets[len(got)] {
					t.Errorf("record %d at %d, appended at %d", len(got), r.Offset, offsets[len(got)])
				}
				got = append(got, r.Data)
			}
			if from = page.Next; from >= page.End {
				break
			}
		}
		if len(got) != len(want) {
			t.Fatalf("limit %d: %d records", limit, len(got))
		}
		for i := range want {
			if !bytes.Equal(got[i], want[i]) {
				t.Errorf("limit %d: record %d has %d bytes, appended were %d", limit, i, len(got[i]), len(want[i]))
			}
		}
	}
	// A read that begins in the midst of a record passes over its rest.
	page, err := l.Read(ctx, "s", offsets[1]+1, 100)
	if err != nil || len(page.Records) == 0 || page.Records[0].Offset != offsets[2] {
		t.Errorf("read from the midst: %+v, error %v", page.Next, err)
	}
}
