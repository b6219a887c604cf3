package core

import (
	"time"

	"github.com/peridotmount/peridotmount/ledger"
)

// maxStartedFactor limits the items that are running or whose results are not
// durable yet to this multiple of the scheduler's concurrency.
const maxStartedFactor = 4

// scheduler selects the items to run. Customers share the partition's concurrency
// by weight; within a customer the job with the earliest deadline goes first, and
// within a job the items run in order. Its memory is bounded by the jobs in
// progress and the concurrency, not by the number of items.
type scheduler struct {
	concurrency int
	// started holds the items that are running or whose results were not read back
	// yet; runningCount is the number of those that are running.
	started      map[ItemKey]*startedItem
	runningCount int
	retries      []retry
	// cursors holds the index of each job's next item.
	cursors map[string]int
	// usage holds the number of items started for each customer, divided by its
	// weight; see usageOf.
	usage map[string]float64
	// lastUsage is the usage of the customer served last, before it was charged.
	lastUsage float64
	// pausedUntil is the time before which no item is started, set when no endpoint
	// accepted an item.
	pausedUntil time.Time
}

// startedItem is an item that was started and whose result was not read back yet.
type startedItem struct {
	// running reports that the driver is running the item.
	running bool
}

// retry is an item that waits to run again.
type retry struct {
	key         ItemKey
	at          time.Time
	priorTokens []string
}

func newScheduler(concurrency int) *scheduler {
	s := &scheduler{concurrency: concurrency}
	s.clear()
	return s
}

// clear resets the scheduler and returns the items that were running.
func (s *scheduler) clear() []ItemKey {
	var stopped []ItemKey
	for key, r := range s.started {
		if r.running {
			stopped = append(stopped, key)
		}
	}
	s.started = make(map[ItemKey]*startedItem)
	s.runningCount = 0
	s.retries = nil
	s.cursors = make(map[string]int)
	s.usage = make(map[string]float64)
	s.lastUsage = 0
	s.pausedUntil = time.Time{}
	return stopped
}

// next starts the next item due at now, or returns false if there is none. Items
// that run for the first time are started only while fewer items than the
// concurrency wait for a retry, which bounds the retries.
func (s *scheduler) next(now time.Time, state *ledger.State, weight func(string) int) (Task, bool) {
	if s.runningCount >= s.concurrency || len(s.started) >= maxStartedFactor*s.concurrency || now.Before(s.pausedUntil) {
		return Task{}, false
	}
	if t, found := s.nextRetry(now, state); found {
		return t, true
	}
	if len(s.retries) >= s.concurrency {
		return Task{}, false
	}
	j := s.nextJob(state)
	if j == nil {
		return Task{}, false
	}
	s.charge(j.Customer, weight)
	index := s.cursors[j.Job]
	s.cursors[j.Job] = index + 1
	t := s.start(j, index)
	t.Interrupted = j.Started(index)
	return t, true
}

func (s *scheduler) nextRetry(now time.Time, state *ledger.State) (Task, bool) {
	for i, r := range s.retries {
		if now.Before(r.at) {
			continue
		}
		s.retries = append(s.retries[:i:i], s.retries[i+1:]...)
		t := s.start(state.RunningJob(r.key.Job), r.key.Index)
		t.PriorTokens = r.priorTokens
		return t, true
	}
	return Task{}, false
}

// nextJob returns the job whose next item runs first, or nil.
func (s *scheduler) nextJob(state *ledger.State) *ledger.Job {
	var best *ledger.Job
	state.EachRunning(func(j *ledger.Job) {
		if s.advanceCursor(j) && (best == nil || s.runsBefore(j, best)) {
			best = j
		}
	})
	return best
}

func (s *scheduler) runsBefore(a, b *ledger.Job) bool {
	if a.Customer != b.Customer {
		x, y := s.usageOf(a.Customer), s.usageOf(b.Customer)
		if x != y {
			return x < y
		}
	}
	if a.DueUnix != b.DueUnix {
		return a.DueUnix < b.DueUnix
	}
	return a.Job < b.Job
}

// usageOf returns the number of items started for a customer divided by its weight.
// A customer that is new or was idle starts level with the customer served last:
// idle time earns no credit.
func (s *scheduler) usageOf(customer string) float64 {
	return max(s.usage[customer], s.lastUsage)
}

func (s *scheduler) charge(customer string, weight func(string) int) {
	usage := s.usageOf(customer)
	s.lastUsage = usage
	s.usage[customer] = usage + 1/float64(max(weight(customer), 1))
}

// advanceCursor moves the job's cursor to its next open item and reports whether
// there is one.
func (s *scheduler) advanceCursor(j *ledger.Job) bool {
	i := s.cursors[j.Job]
	for i < j.Count && j.State(i) != ledger.ItemOpen {
		i++
	}
	s.cursors[j.Job] = i
	return i < j.Count
}

func (s *scheduler) start(j *ledger.Job, index int) Task {
	key := ItemKey{Job: j.Job, Index: index}
	s.started[key] = &startedItem{running: true}
	s.runningCount++
	return Task{
		Key:      key,
		Customer: j.Customer,
		Endpoint: j.Endpoint,
		Chunk:    j.Chunk(index),
		Attempts: j.RunAttempts(index),
		DueUnix:  j.DueUnix,
	}
}

// applyOutcome applies an outcome and reports whether the item was still running;
// if not, the outcome is to be discarded.
func (s *scheduler) applyOutcome(now time.Time, o *Outcome) bool {
	r := s.started[o.Key]
	if r == nil || !r.running {
		return false
	}
	r.running = false
	s.runningCount--
	if o.Done != nil {
		return true
	}
	delete(s.started, o.Key)
	at := now.Add(o.RetryAfter)
	s.retries = append(s.retries, retry{key: o.Key, at: at, priorTokens: o.PriorTokens})
	if o.Refused && at.After(s.pausedUntil) {
		s.pausedUntil = at
	}
	return true
}

// reconcile removes the items that are no longer open and requests that those
// still running be stopped.
func (s *scheduler) reconcile(state *ledger.State, ready *Ready) {
	open := func(key ItemKey) bool {
		j := state.RunningJob(key.Job)
		return j != nil && j.State(key.Index) == ledger.ItemOpen
	}
	for key, r := range s.started {
		if open(key) {
			continue
		}
		delete(s.started, key)
		if r.running {
			s.runningCount--
			ready.stop(key)
		}
	}
	kept := s.retries[:0]
	for _, r := range s.retries {
		if open(r.key) {
			kept = append(kept, r)
		}
	}
	s.retries = kept
	for id := range s.cursors {
		if state.RunningJob(id) == nil {
			delete(s.cursors, id)
		}
	}
}
