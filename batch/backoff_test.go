package batch

import (
	"container/heap"
	"testing"
	"time"
)

// partition plays a partition of the store: it carries out appends one at a time, and
// turns away what would wait for longer than it lets.
type partition struct{ free time.Duration }

const (
	appendTakes   = 2 * time.Millisecond
	longestWait   = 2 * time.Second
	refusalTakes  = 4 * time.Millisecond
	writersInPlay = 900
)

// append returns when the call is answered, and whether it is refused.
func (p *partition) append(now time.Duration) (time.Duration, bool) {
	p.free = max(p.free, now)
	if p.free-now > longestWait {
		return now + refusalTakes, true
	}
	p.free += appendTakes
	return p.free, false
}

// writer is one host's record on its way, due its next try.
type writer struct {
	due   time.Duration
	retry *backoff
}

type writers []*writer

func (w writers) Len() int           { return len(w) }
func (w writers) Less(i, j int) bool { return w[i].due < w[j].due }
func (w writers) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *writers) Push(x any)        { *w = append(*w, x.(*writer)) }
func (w *writers) Pop() any {
	n := len(*w) - 1
	x := (*w)[n]
	*w = (*w)[:n]
	return x
}

// TestAppendsAfterAnOutage replays the end of an outage of seven seconds of the large
// site: 900 results wait, and 130 more come each second. All are written soon, where
// calls that are given up while they wait at the store would fill it with their copies.
func TestAppendsAfterAnOutage(t *testing.T) {
	const arrivals, length, bound = 130, 10 * time.Second, 5 * time.Second
	var queue writers
	for i := range writersInPlay {
		retry := newBackoff()
		for range 8 {
			// The store refused the tries before.
			retry.failed()
		}
		heap.Push(&queue, &writer{due: time.Duration(i) * lastRetry / writersInPlay, retry: retry})
	}
	for i := range arrivals * int(length/time.Second) {
		heap.Push(&queue, &writer{due: time.Duration(i) * time.Second / arrivals, retry: newBackoff()})
	}
	store, copies, last := partition{}, 0, time.Duration(0)
	for len(queue) > 0 {
		w := heap.Pop(&queue).(*writer)
		answered, refused := store.append(w.due)
		if !refused {
			copies++
		}
		late := answered-w.due > w.retry.timeout
		if !refused && !late {
			last = max(last, answered)
			continue
		}
		gone := answered
		if late {
			gone = w.due + w.retry.timeout
		}
		if w.due = gone + w.retry.failed(); w.due > 2*length {
			t.Fatalf("a record is not written %s after the outage; %d copies of %d records", w.due, copies, writersInPlay+arrivals*10)
		}
		heap.Push(&queue, w)
	}
	if last > length+bound {
		t.Errorf("the last record was written after %s", last)
	}
	if records := writersInPlay + arrivals*int(length/time.Second); copies > records*3/2 {
		t.Errorf("%d copies of %d records", copies, records)
	}
}
