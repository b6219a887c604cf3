package core

import (
	"time"

	"github.com/peridotmount/peridotmount/ledger"
)

// maxRecording is how many times its concurrency a scheduler lets items wait
// for their results to be durable.
const maxRecording = 4

// scheduler chooses the items to run. Customers share the partition's
// concurrency by weight; within a customer the job that is due first goes
// first, and within a job the items go in order. Its memory is bounded by the
// jobs in progress and the concurrency, not by the items.
type scheduler struct {
	concurrency int
	running     map[ItemKey]*run
	executing   int
	retries     []retry
	cursors     map[string]int
	shares      map[string]float64
	// pass is the share that was served last.
	pass        float64
	pausedUntil time.Time
}

// run is an item that was started and is not yet read back as done.
type run struct {
	// executing tells that the driver runs the item.
	executing bool
}

// retry is an item that waits for another run.
type retry struct {
	key   ItemKey
	at    time.Time
	prior []string
}

func newScheduler(concurrency int) *scheduler {
	s := &scheduler{concurrency: concurrency}
	s.clear()
	return s
}

// clear forgets everything and returns the items that run.
func (s *scheduler) clear() []ItemKey {
	var stopped []ItemKey
	for key, r := range s.running {
		if r.executing {
			stopped = append(stopped, key)
		}
	}
	s.running = make(map[ItemKey]*run)
	s.executing = 0
	s.retries = nil
	s.cursors = make(map[string]int)
	s.shares = make(map[string]float64)
	s.pass = 0
	s.pausedUntil = time.Time{}
	return stopped
}

// next returns an item to run at now, or false.
func (s *scheduler) next(now time.Time, state *ledger.State, weight func(string) int) (Task, bool) {
	if s.executing >= s.concurrency || len(s.running) >= maxRecording*s.concurrency || now.Before(s.pausedUntil) {
		return Task{}, false
	}
	if t, found := s.nextRetry(now, state); found {
		return t, true
	}
	if len(s.retries) >= s.concurrency {
		return Task{}, false
	}
	j := s.choose(state)
	if j == nil {
		return Task{}, false
	}
	s.serve(j.Customer, weight)
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
		t.Prior = r.prior
		return t, true
	}
	return Task{}, false
}

// choose returns the job whose next item goes first, or nil.
func (s *scheduler) choose(state *ledger.State) *ledger.Job {
	var best *ledger.Job
	state.EachRunning(func(j *ledger.Job) {
		if s.more(j) && (best == nil || s.before(j, best)) {
			best = j
		}
	})
	return best
}

func (s *scheduler) before(a, b *ledger.Job) bool {
	if a.Customer != b.Customer {
		x, y := s.share(a.Customer), s.share(b.Customer)
		if x != y {
			return x < y
		}
	}
	if a.DueUnix != b.DueUnix {
		return a.DueUnix < b.DueUnix
	}
	return a.Job < b.Job
}

// share returns the customer's served work over its weight. A customer that
// comes anew starts level with the others: idle time earns nothing.
func (s *scheduler) share(customer string) float64 {
	return max(s.shares[customer], s.pass)
}

func (s *scheduler) serve(customer string, weight func(string) int) {
	served := s.share(customer)
	s.pass = served
	s.shares[customer] = served + 1/float64(max(weight(customer), 1))
}

// more moves the job's cursor to its next open item and reports whether there is
// one.
func (s *scheduler) more(j *ledger.Job) bool {
	i := s.cursors[j.Job]
	for i < j.Count && j.State(i) != ledger.ItemOpen {
		i++
	}
	s.cursors[j.Job] = i
	return i < j.Count
}

func (s *scheduler) start(j *ledger.Job, index int) Task {
	key := ItemKey{Job: j.Job, Index: index}
	s.running[key] = &run{executing: true}
	s.executing++
	return Task{
		Key:      key,
		Customer: j.Customer,
		Endpoint: j.Endpoint,
		Chunk:    j.Chunk(index),
		Tries:    j.Tries(index),
		DueUnix:  j.DueUnix,
	}
}

// ended applies an outcome and reports whether the item is still wanted.
func (s *scheduler) ended(now time.Time, o *Outcome) bool {
	r := s.running[o.Key]
	if r == nil || !r.executing {
		return false
	}
	r.executing = false
	s.executing--
	if o.Done != nil {
		return true
	}
	delete(s.running, o.Key)
	at := now.Add(o.RetryAfter)
	s.retries = append(s.retries, retry{key: o.Key, at: at, prior: o.Prior})
	if o.Refused && at.After(s.pausedUntil) {
		s.pausedUntil = at
	}
	return true
}

// reconcile drops the items that are open no more and asks to stop those that
// still run.
func (s *scheduler) reconcile(state *ledger.State, ready *Ready) {
	open := func(key ItemKey) bool {
		j := state.RunningJob(key.Job)
		return j != nil && j.State(key.Index) == ledger.ItemOpen
	}
	for key, r := range s.running {
		if open(key) {
			continue
		}
		delete(s.running, key)
		if r.executing {
			s.executing--
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
