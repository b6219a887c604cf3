package origin

import (
	"testing"
	"time"
)

// TestRetoldStreamIsForgotten has two hosts tell one another all that they know, every 15 s, as at elections: a stream
// that nobody takes up is forgotten after some periods of Retention.
func TestRetoldStreamIsForgotten(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Record(start, "r", "v1")
	now := start
	for range 40 {
		now = now.Add(15 * time.Second)
		for _, batch := range a.All(now) {
			b.Merge(now, "a", batch)
		}
		for _, batch := range b.All(now) {
			a.Merge(now, "b", batch)
		}
	}
	if n := len(b.All(now)); n != 0 {
		t.Errorf("the stream is still told after %s", now.Sub(start))
	}
}
