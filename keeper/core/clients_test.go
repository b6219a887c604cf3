package core

import (
	"fmt"
	"strings"
	"time"

	"github.com/peridotmount/peridotmount/ledger"
)

const (
	simJobs       = 6
	itemsPerChunk = 2
	chunksPerJob  = 2
)

// startClientOperation starts one random client operation in about one of six
// steps.
func (s *sim) startClientOperation() {
	if s.rng.IntN(6) != 0 {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if !h.up() || !h.core.Leads(h.clock()) {
		return
	}
	job := fmt.Sprintf("job-%d", s.rng.IntN(simJobs))
	switch s.rng.IntN(12) {
	case 0, 1, 2, 6, 7:
		s.create(h, job, fmt.Sprintf("digest-%d", s.rng.IntN(2)))
	case 3:
		s.cancel(h, job)
	case 4, 5:
		s.request(h, fmt.Sprintf("request-%d", s.rng.IntN(simJobs)))
	default:
		s.observeJob(h.core.State(), job, s.now)
	}
	h.handleReady()
}

// propose proposes an entry and calls onDurable once it is settled without error.
// It does not call it if the host no longer leads by then: the host may have
// discarded its state, and a client would retry at another host.
func (s *sim) propose(h *simHost, e ledger.Entry, onDurable func()) {
	s.await(h, e, func(err error) {
		if err == nil && h.core.Leads(h.clock()) {
			onDurable()
		}
	})
}

// await proposes an entry and passes its outcome to done, whether it succeeds or
// fails.
func (s *sim) await(h *simHost, e ledger.Entry, done func(err error)) {
	s.lastID++
	id := s.lastID
	if err := h.core.Propose(h.clock(), id, []ledger.Entry{e}); err != nil {
		done(err)
		return
	}
	s.waiting[id] = done
}

func (s *sim) settled(_ *simHost, e Settlement) {
	if done := s.waiting[e.ID]; done != nil {
		delete(s.waiting, e.ID)
		done(e.Err)
	}
}

// create submits a job as a leader does: its chunks of items one by one, then the
// commit.
func (s *sim) create(h *simHost, job, digest string) {
	from := s.now
	if known := h.core.State().Job(job); known != nil {
		s.observeJob(h.core.State(), job, from)
		return
	}
	s.lastID++
	attempt := fmt.Sprintf("%s/%d", digest, s.lastID)
	s.proposeChunk(h, job, digest, attempt, 0, from)
}

func (s *sim) proposeChunk(h *simHost, job, digest, attempt string, chunkIndex int, from time.Time) {
	if chunkIndex == chunksPerJob {
		commit := &ledger.JobCommit{
			Job: job, Customer: "c", Name: job, Digest: digest, Attempt: attempt,
			Count: chunksPerJob * itemsPerChunk, CreatedUnix: 1, DueUnix: 2,
		}
		s.propose(h, ledger.Entry{JobCommit: commit}, func() { s.observeJob(h.core.State(), job, from) })
		return
	}
	chunk := &ledger.JobItems{Job: job, Attempt: attempt, First: chunkIndex * itemsPerChunk}
	for range itemsPerChunk {
		chunk.Items = append(chunk.Items, ledger.Item{CustomID: attempt, Body: []byte(`{}`)})
	}
	s.propose(h, ledger.Entry{JobItems: chunk}, func() { s.proposeChunk(h, job, digest, attempt, chunkIndex+1, from) })
}

func (s *sim) cancel(h *simHost, job string) {
	from := s.now
	if h.core.State().Job(job) == nil {
		return
	}
	s.propose(h, ledger.Entry{JobCancel: &ledger.JobCancel{Job: job}}, func() {
		j := h.core.State().Job(job)
		if j == nil || j.Status == ledger.JobRunning {
			s.recordViolation("%s is still running after its cancellation was settled", job)
			return
		}
		s.history.add(job+" end", string(j.Status), from, s.now)
	})
}

// request starts a keyed request, or finishes it if it has been started.
func (s *sim) request(h *simHost, id string) {
	from := s.now
	s.lastID++
	if r := h.core.State().Request(id); r != nil {
		s.history.add(id+" start", r.Nonce, from, s.now)
		s.finish(h, id)
		return
	}
	start := &ledger.RequestStart{ID: id, Customer: "c", Nonce: fmt.Sprint(s.lastID)}
	s.propose(h, ledger.Entry{RequestStart: start}, func() {
		r := h.core.State().Request(id)
		if r == nil {
			s.recordViolation("%s has not started although its start was settled", id)
			return
		}
		s.history.add(id+" start", r.Nonce, from, s.now)
	})
}

func (s *sim) finish(h *simHost, id string) {
	from := s.now
	s.lastID++
	done := &ledger.RequestDone{ID: id, Status: 200, Body: []byte(fmt.Sprint(s.lastID))}
	s.propose(h, ledger.Entry{RequestDone: done}, func() {
		s.observeResult(h.core.State(), id, from)
	})
}

func (s *sim) observeResult(state *ledger.State, id string, from time.Time) {
	r := state.Request(id)
	if r == nil || !r.Done {
		s.history.add(id+" result", "", from, s.now)
		return
	}
	if d := s.entry(r.Place).RequestDone; d != nil && d.ID == id {
		s.history.add(id+" result", string(d.Body), from, s.now)
		return
	}
	s.recordViolation("result of %s is not at offset %d", id, r.Place.Offset())
}

// entry returns the entry at p, or an empty one if there is none, and records a
// violation if readers can no longer read its record.
func (s *sim) entry(p ledger.Place) *ledger.Entry {
	if p.Offset() < s.log.horizon {
		s.recordViolation("offset %d is still referenced but the log is trimmed up to %d", p.Offset(), s.log.horizon)
	}
	if e := p.EntryIn(s.log.decode(p.Offset())); e != nil {
		return e
	}
	return &ledger.Entry{}
}

// observeJob reads a job as a client of the leader does.
func (s *sim) observeJob(state *ledger.State, job string, from time.Time) {
	j := state.Job(job)
	if j == nil {
		s.history.add(job, "", from, s.now)
		return
	}
	s.history.add(job, j.Digest, from, s.now)
	end := ""
	if j.Status != ledger.JobRunning {
		end = string(j.Status)
	}
	s.history.add(job+" end", end, from, s.now)
	for i := range j.Count {
		s.observeItem(j, i, from)
	}
}

func (s *sim) observeItem(j *ledger.Job, index int, from time.Time) {
	register := fmt.Sprintf("%s item %d", j.Job, index)
	switch j.State(index) {
	case ledger.ItemOpen:
		s.history.add(register, "", from, s.now)
		s.checkChunk(j, index)
	case ledger.ItemCanceled:
		s.history.add(register, "cancelled", from, s.now)
		s.checkChunk(j, index)
	default:
		s.history.add(register, s.resultOf(j, index), from, s.now)
	}
}

func (s *sim) resultOf(j *ledger.Job, index int) string {
	if d := s.entry(j.Result(index)).ItemDone; d != nil && d.Job == j.Job && d.Index == index {
		return string(d.Body)
	}
	s.recordViolation("result of %s item %d is not at offset %d", j.Job, index, j.Result(index).Offset())
	return ""
}

// checkChunk checks that an item's request is readable and belongs to the
// submission attempt that committed the job.
func (s *sim) checkChunk(j *ledger.Job, index int) {
	c := s.entry(j.Chunk(index)).JobItems
	switch {
	case c == nil || c.Job != j.Job || index < c.First || index >= c.First+len(c.Items):
		s.recordViolation("request of %s item %d is not at offset %d", j.Job, index, j.Chunk(index).Offset())
	case !strings.HasPrefix(c.Items[index-c.First].CustomID, j.Digest) || c.Attempt != j.Attempt:
		s.recordViolation("request of %s item %d belongs to another submission attempt", j.Job, index)
	}
}

// checkFinalState reads all jobs and results at the end of a run. It checks that
// every accepted job is done, that a reader that starts at a snapshot holds the
// same state as one that read the whole stream, and that the history is
// linearizable.
func (s *sim) checkFinalState() {
	full := s.log.replayAll()
	for i := range simJobs {
		job := fmt.Sprintf("job-%d", i)
		s.observeJob(full, job, s.now)
		if j := full.Job(job); j != nil && j.Status == ledger.JobRunning {
			s.recordViolation("%s was accepted but has %d open items at the end of the run", job, j.Open())
		}
		s.observeResult(full, fmt.Sprintf("request-%d", i), s.now)
	}
	retained := s.log.replayRetained()
	switch {
	case retained == nil:
		s.recordViolation("no complete snapshot after horizon %d", s.log.horizon)
	case string(retained.Encode()) != string(full.Encode()):
		s.recordViolation("replay from the snapshot gives a different state than replay of the whole stream")
	}
	if !s.history.linearizable() {
		s.recordViolation("history is not linearizable")
	}
}
