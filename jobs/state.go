package jobs

import (
	"sort"

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
	// Incomplete submissions lack some of their items.
	Incomplete
)

// String names the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"accepted", "repeated", "over-quota", "incomplete"}[v]
}

// State is what the ledger says, up to an offset. It is a deterministic state
// machine: all that apply the same records hold the same. It is not safe for
// concurrent use.
//
// Invariants: the first submission of a job that fits stands, the first result
// of an item stands, and a result keeps its position.
type State struct {
	jobs map[string]*Job
	// parts holds the items of submissions that have not come, by attempt.
	parts map[string]*attempt
	// waiting counts the tokens of open items by route.
	waiting map[string]int64
	// next is the offset behind the newest record applied.
	next int64
	// refused remembers the attempts that were turned away: a copy of one that
	// comes late must not be accepted, as its client was told so.
	refused *recent.Set
	// orphans are the keys of records that belong to no job.
	orphans []string
}

// attempt holds the items of one attempt to submit a job.
type attempt struct {
	items []Item
	// parts counts those that were taken.
	parts  int
	keys   []string
	offset int64
}

// add appends the items of the next part, or the rest of the last item's body.
func (a *attempt) add(p *Part) {
	if p.Index != a.parts {
		return
	}
	a.parts++
	if n := len(a.items); p.More != nil && n > 0 {
		a.items[n-1].Body = append(a.items[n-1].Body, p.More...)
	}
	a.items = append(a.items, p.Items...)
}

// refusedKept is how many attempts that were turned away are remembered: a copy
// of a submission comes within seconds.
const refusedKept = 4096

// attemptsKept bounds the attempts whose submission has not come: a submission
// follows its parts within seconds.
const attemptsKept = 256

// NewState returns an empty State.
func NewState() *State {
	return &State{
		jobs:    make(map[string]*Job),
		parts:   make(map[string]*attempt),
		waiting: make(map[string]int64),
		refused: recent.NewSet(refusedKept),
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
	if r.Part != nil {
		s.addPart(offset, key, r.Part)
		return Change{}
	}
	if r.Submit != nil {
		return s.submit(key, r)
	}
	job := s.jobs[r.Job]
	if job == nil {
		s.orphans = append(s.orphans, key)
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

func (s *State) addPart(offset int64, key string, p *Part) {
	a := s.parts[p.Attempt]
	if a == nil {
		a = &attempt{offset: offset}
		s.parts[p.Attempt] = a
	}
	a.add(p)
	a.keys = append(a.keys, key)
	s.dropOldAttempts()
}

// dropOldAttempts forgets the parts of submissions that never came.
func (s *State) dropOldAttempts() {
	if len(s.parts) <= attemptsKept {
		return
	}
	names := make([]string, 0, len(s.parts))
	for name := range s.parts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return s.parts[names[i]].offset < s.parts[names[j]].offset })
	for _, name := range names[:len(names)-attemptsKept] {
		s.orphans = append(s.orphans, s.parts[name].keys...)
		delete(s.parts, name)
	}
}

func (s *State) submit(key string, r *Record) Change {
	sub := r.Submit
	a := s.parts[sub.Attempt]
	delete(s.parts, sub.Attempt)
	if a == nil {
		a = &attempt{}
	}
	a.keys = append(a.keys, key)
	verdict := s.judge(r, a)
	switch {
	case verdict == Repeated:
		s.jobs[r.Job].keys = append(s.jobs[r.Job].keys, a.keys...)
	case verdict != Accepted:
		s.refused.Add(sub.Attempt)
		s.orphans = append(s.orphans, a.keys...)
	default:
		s.accept(r, a)
	}
	return Change{Attempt: sub.Attempt, Verdict: verdict, Job: s.jobs[r.Job]}
}

func (s *State) accept(r *Record, a *attempt) {
	s.jobs[r.Job] = &Job{
		ID:         r.Job,
		Submission: *r.Submit,
		Items:      a.items,
		progress:   make([]progress, len(a.items)),
		open:       len(a.items),
		keys:       a.keys,
	}
	s.waiting[r.Submit.Route] += r.Submit.Tokens
}

func (s *State) judge(r *Record, a *attempt) Verdict {
	switch {
	case s.jobs[r.Job] != nil:
		return Repeated
	case s.refused.Has(r.Submit.Attempt):
		return OverQuota
	case len(a.items) != r.Submit.Items:
		return Incomplete
	case r.Submit.Quota > 0 && s.waiting[r.Submit.Route]+r.Submit.Tokens > r.Submit.Quota:
		return OverQuota
	default:
		return Accepted
	}
}

func (s *State) end(job *Job, r *Result) Change {
	if job.Cancelled || !job.has(r.Item) || job.progress[r.Item].ended {
		return Change{}
	}
	job.progress[r.Item] = progress{ended: true, failures: job.progress[r.Item].failures}
	job.open--
	job.Results = append(job.Results, *r)
	s.release(job, job.Items[r.Item].Tokens)
	return Change{Job: job, Item: r.Item, Ended: true}
}

func (s *State) release(job *Job, tokens int64) {
	route := job.Submission.Route
	if s.waiting[route] -= tokens; s.waiting[route] <= 0 {
		delete(s.waiting, route)
	}
}

func fail(job *Job, f *Failure) Change {
	if job.has(f.Item) {
		job.progress[f.Item].failures++
	}
	return Change{}
}

func keepPartial(job *Job, p *Partial) Change {
	if !job.has(p.Item) || job.Ended(p.Item) || job.Cancelled {
		return Change{}
	}
	if old := job.progress[p.Item].partial; old == nil || old.Events < p.Events {
		job.progress[p.Item].partial = p
	}
	return Change{Job: job, Item: p.Item, Kept: true}
}

func (s *State) cancel(job *Job) Change {
	if job.Cancelled {
		return Change{}
	}
	job.Cancelled = true
	for i := range job.Items {
		if !job.progress[i].ended {
			s.release(job, job.Items[i].Tokens)
		}
	}
	return Change{Job: job, Cancelled: true}
}

// TakeOrphans returns the keys of records that belong to no job, once.
func (s *State) TakeOrphans() []string {
	keys := s.orphans
	s.orphans = nil
	return keys
}

// Drop forgets a job that is no longer kept and returns the keys of its records.
func (s *State) Drop(id string) []string {
	job := s.jobs[id]
	if job == nil {
		return nil
	}
	if !job.Cancelled {
		s.cancel(job)
	}
	delete(s.jobs, id)
	return job.keys
}
