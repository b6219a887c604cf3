package batch

import (
	"sync"

	"github.com/peridotmount/peridotmount/jobs"
)

// submittedJobs holds under which ids and paths the jobs in the ledger view were submitted. It has a lock of its own,
// as requests of all routes ask it, and a listing holds that of the Ledger for long. Its methods are safe for
// concurrent use.
type submittedJobs struct {
	mu sync.RWMutex
	// count is the number of jobs: workspaces may choose the same id and path.
	count map[submittedAs]int
}

// submittedAs is the id that a client chose for a job, and the path that it submitted the job to.
type submittedAs struct{ id, path string }

func newSubmittedJobs() *submittedJobs {
	return &submittedJobs{count: make(map[submittedAs]int)}
}

func submissionOf(job *jobs.Job) submittedAs {
	return submittedAs{id: jobs.ChosenID(job.ID), path: job.Submission.Path}
}

func (s *submittedJobs) add(job *jobs.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[submissionOf(job)]++
}

func (s *submittedJobs) remove(job *jobs.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := submissionOf(job)
	if s.count[key]--; s.count[key] <= 0 {
		delete(s.count, key)
	}
}

func (s *submittedJobs) has(id, path string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.count[submittedAs{id: id, path: path}] > 0
}
