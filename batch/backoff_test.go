package batch

import (
	"container/heap"
	"testing"
	"time"
)

// storePartition simulates a partition of the store. It carries out appends one at a
// time and refuses those that would be queued for more than maxQueueWait.
type storePartition struct{ freeAt time.Duration }

const (
	appendDuration  = 2 * time.Millisecond
	maxQueueWait    = 2 * time.Second
	refusalDuration = 4 * time.Millisecond
	queuedWriters   = 900
)

// append returns the time of the response, and whether the call is refused.
func (p *storePartition) append(now time.Duration) (time.Duration, bool) {
	p.freeAt = max(p.freeAt, now)
	if p.freeAt-now > maxQueueWait {
		return now + refusalDuration, true
	}
	p.freeAt += appendDuration
	return p.freeAt, false
}

// writer is one host's pending record. due is the time of its next attempt.
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

// TestAppendsAfterAnOutage simulates the end of an outage of seven seconds at the large
// site: 900 results are pending, and 130 more arrive each second. All must be written
// soon. Without backoff, calls that time out while they are queued in the store would
// fill it with their copies.
func TestAppendsAfterAnOutage(t *testing.T) {
	const arrivals, length, bound = 130, 10 * time.Second, 5 * time.Second
	var queue writers
	for i := range queuedWriters {
		retry := newBackoff()
		for range 8 {
			// The store refused the attempts made during the outage.
			retry.nextDelay()
		}
		heap.Push(&queue, &writer{due: time.Duration(i) * maxRetryDelay / queuedWriters, retry: retry})
	}
	for i := range arrivals * int(length/time.Second) {
		heap.Push(&queue, &writer{due: time.Duration(i) * time.Second / arrivals, retry: newBackoff()})
	}
	store, copies, last := storePartition{}, 0, time.Duration(0)
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
		ended := answered
		if late {
			ended = w.due + w.retry.timeout
		}
		if w.due = ended + w.retry.nextDelay(); w.due > 2*length {
			t.Fatalf("a record was not written by %s after the outage; the store holds %d copies of %d records", w.due, copies, queuedWriters+arrivals*10)
		}
		heap.Push(&queue, w)
	}
	if last > length+bound {
		t.Errorf("the last record was written %s after the outage", last)
	}
	if records := queuedWriters + arrivals*int(length/time.Second); copies > records*3/2 {
		t.Errorf("the store holds %d copies of %d records", copies, records)
	}
}
