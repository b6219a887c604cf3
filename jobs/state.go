package jobs

import (
	"slices"

	"github.com/peridotmount/peridotmount/recent"
)

// Verdict is what became of a submission.
type Verdict int

// Verdicts on a submission.
const (
	// Accepted jobs are the system's to keep.
	Accepted Verdict = iota
	// Repeated submissions name a job that was accepted before.
	Repeated
	// OverQuota jobs don't fit beside what waits on their route.
	OverQuota
)

// String names the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"accepted", "repeated", "over-quota"}[v]
}

// attemptsKept is how many attempts are remembered: a copy of a submission comes
// within seconds.
const attemptsKept = 4096

// State is what the ledger says, up to an offset. It is a deterministic state
// machine: all that apply the same records hold the same. It is not safe for
// concurrent use.
//
// Invariants: the first submission of a job that fits stands, the first result
// of an item stands, a result keeps its position, and each attempt to submit a
// job has one verdict.
type State struct {
	jobs map[string]*Job
	// waiting counts the tokens of open items by route.
	waiting map[string]int64
	// next is the offset behind the newest record applied.
	next int64
	// refused remembers the attempts that were turned away: a copy of one that
	// comes late must not be accepted, as its client was told so.
	refused *recent.Set
	// orphans are the keys of records that belong to no job.
	orphans Dropped
}

// NewState returns an empty State.
func NewState() *State {
	return &State{
		jobs:    make(map[string]*Job),
		waiting: make(map[string]int64),
		refused: recent.NewSet(attemptsKept),
	}
}

// Job returns a job, or nil.
func (s *State) Job(id string) *Job {
	return s.jobs[id]
}

// Jobs returns all jobs in no order.
func (s *State) Jobs() map[string]*Job {
	return s.jobs
}

// Next returns the offset behind the newest record applied.
func (s *State) Next() int64 {
	return s.next
}

// Waiting returns the tokens of the open items of a route.
func (s *State) Waiting(route string) int64 {
	return s.waiting[route]
}

// Apply applies the record at an offset; those before it were applied, and ones
// applied already are passed over. It returns what the record changed.
func (s *State) Apply(offset int64, key string, r *Record) Change {
	if offset < s.next {
		return Change{}
	}
	s.next = offset + 1
	if r.Submit != nil {
		return s.submit(key, r)
	}
	job := s.jobs[r.Job]
	if job == nil {
		s.orphans.Records = append(s.orphans.Records, key)
		return Change{}
	}
	job.keys = append(job.keys, key)
	switch {
	case r.Result != nil:
		return s.end(job, r.Result)
	case r.Failure != nil:
		return fail(job, r.Failure)
	case r.Partial != nil:
		return keepPartial(job, r.Partial)
	case r.Cancel != nil:
		return s.cancel(job)
	default:
		return Change{}
	}
}

func (s *State) submit(key string, r *Record) Change {
	sub := r.Submit
	verdict := s.judge(r)
	switch verdict {
	case Accepted:
		s.accept(key, r)
	case Repeated:
		job := s.jobs[r.Job]
		job.keys = append(job.keys, key)
		if job.Submission.Attempt != sub.Attempt {
			job.payloads = append(job.payloads, inputKeys(sub)...)
		}
	default:
		s.refused.Add(sub.Attempt)
		s.orphans.Records = append(s.orphans.Records, key)
		s.orphans.Payloads = append(s.orphans.Payloads, inputKeys(sub)...)
	}
	return Change{Attempt: sub.Attempt, Verdict: verdict, Job: s.jobs[r.Job]}
}

func (s *State) judge(r *Record) Verdict {
	switch {
	case s.jobs[r.Job] != nil:
		return Repeated
	case s.refused.Has(r.Submit.Attempt):
		return OverQuota
	case r.Submit.Quota > 0 && s.waiting[r.Submit.Route]+r.Submit.Tokens > r.Submit.Quota:
		return OverQuota
	default:
		return Accepted
	}
}

func (s *State) accept(key string, r *Record) {
	items := len(r.Submit.Items)
	s.jobs[r.Job] = &Job{
		ID:         r.Job,
		Submission: *r.Submit,
		progress:   make([]progress, items),
		open:       items,
		keys:       []string{key},
		payloads:   inputKeys(r.Submit),
	}
	s.waiting[r.Submit.Route] += r.Submit.Tokens
}

func inputKeys(s *Submission) []string {
	var out []string
	for i := range s.Inputs {
		out = append(out, s.Inputs[i].Blob.Keys()...)
	}
	return out
}

func (s *State) end(job *Job, r *Result) Change {
	job.payloads = append(job.payloads, r.Output.Keys()...)
	if job.Cancelled || !job.has(r.Item) || job.progress[r.Item].ended {
		return Change{}
	}
	job.progress[r.Item] = progress{ended: true, failed: job.progress[r.Item].failed}
	job.open--
	job.Results = append(job.Results, *r)
	s.release(job, job.Items()[r.Item].Tokens)
	return Change{Job: job, Item: r.Item, Ended: true}
}

func (s *State) release(job *Job, tokens int64) {
	route := job.Submission.Route
	if s.waiting[route] -= tokens; s.waiting[route] <= 0 {
		delete(s.waiting, route)
	}
}

// fail counts a run that failed once, however often its record arrives.
func fail(job *Job, f *Failure) Change {
	if job.has(f.Item) && !slices.Contains(job.progress[f.Item].failed, f.Run) {
		job.progress[f.Item].failed = append(job.progress[f.Item].failed, f.Run)
	}
	return Change{}
}

func keepPartial(job *Job, p *Partial) Change {
	job.payloads = append(job.payloads, p.Output.Keys()...)
	if !job.has(p.Item) || job.Ended(p.Item) || job.Cancelled {
		return Change{}
	}
	if old := job.progress[p.Item].partial; old == nil || old.Events < p.Events {
		job.progress[p.Item].partial = p
	}
	return Change{Job: job, Item: p.Item, Checkpointed: true}
}

func (s *State) cancel(job *Job) Change {
	if job.Cancelled {
		return Change{}
	}
	job.Cancelled = true
	for i := range job.Items() {
		if !job.progress[i].ended {
			s.release(job, job.Items()[i].Tokens)
		}
	}
	return Change{Job: job, Cancelled: true}
}

// TakeOrphans returns the keys of records that belong to no job, once.
func (s *State) TakeOrphans() Dropped {
	keys := s.orphans
	s.orphans = Dropped{}
	return keys
}

// Drop forgets a job that is no longer kept and returns the keys of its records.
func (s *State) Drop(id string) Dropped {
	job := s.jobs[id]
	if job == nil {
		return Dropped{}
	}
	s.cancel(job)
	delete(s.jobs, id)
	return Dropped{Records: job.keys, Payloads: job.payloads}
}
