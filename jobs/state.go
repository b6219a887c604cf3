package jobs

import (
	"slices"

	"github.com/peridotmount/peridotmount/recent"
)

// Verdict is the decision on a submission.
type Verdict int

// Verdicts on a submission.
const (
	// Accepted means that the system has taken responsibility for the job.
	Accepted Verdict = iota
	// Repeated means that the submission names a job that was accepted before.
	Repeated
	// OverQuota means that the job and the open items of its route together would
	// exceed the quota.
	OverQuota
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"accepted", "repeated", "over-quota"}[v]
}

// maxRejectedAttempts bounds the number of rejected attempts that are remembered. A
// bounded set suffices because a duplicate of a submission arrives within seconds.
const maxRejectedAttempts = 4096

// State is the result of applying the ledger's records up to an offset. It is a
// deterministic state machine: all replicas that apply the same records reach the
// same state. It is not safe for concurrent use.
//
// Invariants: the first submission of a job that fits the quota is the one
// accepted, the first result of an item is final, a result keeps its position, and
// each attempt to submit a job has one verdict.
type State struct {
	jobs map[string]*Job
	// openTokens is the sum of the tokens of open items, by route.
	openTokens map[string]int64
	// next is the offset after the newest applied record.
	next int64
	// rejected remembers the attempts that were rejected: a late duplicate of one
	// must not be accepted, because its client was told of the rejection.
	rejected *recent.Set
	// orphans lists the keys of records and payloads that belong to no job, as those of
	// rejected submissions.
	orphans Dropped
}

// NewState returns an empty State.
func NewState() *State {
	return &State{
		jobs:       make(map[string]*Job),
		openTokens: make(map[string]int64),
		rejected:   recent.NewSet(maxRejectedAttempts),
	}
}

// Job returns the job with an ID, or nil.
func (s *State) Job(id string) *Job {
	return s.jobs[id]
}

// Jobs returns all jobs, keyed by ID. The map is the state's own, not a copy.
func (s *State) Jobs() map[string]*Job {
	return s.jobs
}

// Next returns the offset after the newest applied record.
func (s *State) Next() int64 {
	return s.next
}

// Waiting returns the sum of the tokens of the open items of a route, including
// items that are running.
func (s *State) Waiting(route string) int64 {
	return s.openTokens[route]
}

// Apply applies the record at an offset and returns what it changed. Records must
// be applied in offset order; those already applied are skipped.
func (s *State) Apply(offset int64, key string, r *Record) Change {
	if offset < s.next {
		return Change{}
	}
	s.next = offset + 1
	if r.Submit != nil {
		return s.applySubmission(key, r)
	}
	job := s.jobs[r.Job]
	if job == nil {
		s.orphans.Records = append(s.orphans.Records, key)
		return Change{}
	}
	job.recordKeys = append(job.recordKeys, key)
	switch {
	case r.Result != nil:
		return s.applyResult(job, r.Result)
	case r.Failure != nil:
		return applyFailure(job, r.Failure)
	case r.Partial != nil:
		return applyPartial(job, r.Partial)
	case r.Cancel != nil:
		return s.applyCancel(job)
	default:
		return Change{}
	}
}

func (s *State) applySubmission(key string, r *Record) Change {
	sub := r.Submit
	verdict := s.decideVerdict(r)
	switch verdict {
	case Accepted:
		s.accept(key, r)
	case Repeated:
		job := s.jobs[r.Job]
		job.recordKeys = append(job.recordKeys, key)
		// A duplicate of the accepted record refers to the same payloads.
		if job.Submission.Attempt != sub.Attempt {
			job.payloadKeys = append(job.payloadKeys, inputKeys(sub)...)
		}
	default:
		s.rejected.Add(sub.Attempt)
		s.orphans.Records = append(s.orphans.Records, key)
		s.orphans.Payloads = append(s.orphans.Payloads, inputKeys(sub)...)
	}
	return Change{Attempt: sub.Attempt, Verdict: verdict, Job: s.jobs[r.Job]}
}

func (s *State) decideVerdict(r *Record) Verdict {
	switch {
	case s.jobs[r.Job] != nil:
		return Repeated
	case s.rejected.Has(r.Submit.Attempt):
		return OverQuota
	case r.Submit.Quota > 0 && s.openTokens[r.Submit.Route]+r.Submit.Tokens > r.Submit.Quota:
		return OverQuota
	default:
		return Accepted
	}
}

func (s *State) accept(key string, r *Record) {
	items := len(r.Submit.Items)
	s.jobs[r.Job] = &Job{
		ID:          r.Job,
		Submission:  *r.Submit,
		progress:    make([]progress, items),
		open:        items,
		recordKeys:  []string{key},
		payloadKeys: inputKeys(r.Submit),
	}
	s.openTokens[r.Submit.Route] += r.Submit.Tokens
}

func inputKeys(s *Submission) []string {
	var out []string
	for i := range s.Inputs {
		out = append(out, s.Inputs[i].Blob.Keys()...)
	}
	return out
}

func (s *State) applyResult(job *Job, r *Result) Change {
	job.payloadKeys = append(job.payloadKeys, r.Output.Keys()...)
	if job.Cancelled || !job.hasItem(r.Item) || job.progress[r.Item].ended {
		return Change{}
	}
	job.progress[r.Item] = progress{ended: true, failedRuns: job.progress[r.Item].failedRuns}
	job.open--
	job.Results = append(job.Results, *r)
	s.subtractOpenTokens(job, job.Items()[r.Item].Tokens)
	return Change{Job: job, Item: r.Item, Ended: true}
}

func (s *State) subtractOpenTokens(job *Job, tokens int64) {
	route := job.Submission.Route
	if s.openTokens[route] -= tokens; s.openTokens[route] <= 0 {
		delete(s.openTokens, route)
	}
}

// applyFailure counts each failed run once, even if its record arrives repeatedly.
func applyFailure(job *Job, f *Failure) Change {
	if job.hasItem(f.Item) && !slices.Contains(job.progress[f.Item].failedRuns, f.Run) {
		job.progress[f.Item].failedRuns = append(job.progress[f.Item].failedRuns, f.Run)
	}
	return Change{}
}

func applyPartial(job *Job, p *Partial) Change {
	job.payloadKeys = append(job.payloadKeys, p.Output.Keys()...)
	if !job.hasItem(p.Item) || job.Ended(p.Item) || job.Cancelled {
		return Change{}
	}
	if old := job.progress[p.Item].partial; old == nil || old.Events < p.Events {
		job.progress[p.Item].partial = p
	}
	return Change{Job: job, Item: p.Item, Checkpointed: true}
}

func (s *State) applyCancel(job *Job) Change {
	if job.Cancelled {
		return Change{}
	}
	job.Cancelled = true
	for i := range job.Items() {
		if !job.progress[i].ended {
			s.subtractOpenTokens(job, job.Items()[i].Tokens)
		}
	}
	return Change{Job: job, Cancelled: true}
}

// TakeOrphans returns the keys of records and payloads that belong to no job, and
// clears them: each key is returned once.
func (s *State) TakeOrphans() Dropped {
	keys := s.orphans
	s.orphans = Dropped{}
	return keys
}

// Drop removes a job whose status no longer has to be readable, and returns the keys
// of its records and payloads so that they can be deleted.
func (s *State) Drop(id string) Dropped {
	job := s.jobs[id]
	if job == nil {
		return Dropped{}
	}
	s.applyCancel(job) // Subtracts the tokens of items that are still open.
	delete(s.jobs, id)
	return Dropped{Records: job.recordKeys, Payloads: job.payloadKeys}
}
