package entry

import (
	"sync"
	"time"
)

// outage remembers which partitions did not answer lately, so that calls that
// depend on one are refused at once while it is out. It is safe for concurrent
// use.
type outage struct {
	mu    sync.Mutex
	until map[int]time.Time
}

func newOutage() *outage {
	return &outage{until: make(map[int]time.Time)}
}

// open reports whether a call may try the partition at now. After a failure one
// call in each pause goes through.
func (o *outage) open(partition int, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, out := o.until[partition]
	if !out {
		return true
	}
	if now.Before(until) {
		return false
	}
	o.until[partition] = now.Add(outagePause)
	return true
}

// note records the outcome of a call.
func (o *outage) note(partition int, failed bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if failed {
		o.until[partition] = now.Add(outagePause)
		return
	}
	delete(o.until, partition)
}
