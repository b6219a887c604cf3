package jobs

import (
	"maps"
	"slices"
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

// State is the result of applying the ledger's records up to an offset. It is a
// deterministic state machine: all replicas that apply the same records reach the
// same state, and so does one that lists what deletions have left of them. It is not safe
// for concurrent use.
//
// Invariants: the first submission of a job that fits the quota is the one
// accepted, the first result of an item is final, a result keeps its position, and
// each attempt to submit a job has one verdict.
type State struct {
	jobs map[string]*Job
	// openTokens is the sum of the tokens of open items.
	openTokens map[quotaKey]int64
	// next is the offset after the newest applied record.
	next int64
	// rejections holds the attempts that were rejected: a late duplicate of one must not be
	// accepted, because its client was told of the rejection.
	rejections map[string]*rejection
	// rejectionKeys holds, by key, the attempts whose rejections are in the ledger.
	rejectionKeys map[string]string
	// submissions holds, by key, the submissions in the ledger.
	submissions map[string]submissionRef
	// orphans holds the keys of other records in the ledger that belong to no job.
	orphans map[string]bool
}

// quotaKey names whose open items on a route count against one quota.
type quotaKey struct{ workspace, route string }

// quotaKey returns against whose quota the items of a submission count.
func (s *Submission) quotaKey() quotaKey {
	return quotaKey{workspace: s.Workspace, route: s.Route}
}

// submissionRef names a submission in the ledger.
type submissionRef struct{ job, attempt string }

// NewState returns an empty State.
func NewState() *State {
	return &State{
		jobs:          make(map[string]*Job),
		openTokens:    make(map[quotaKey]int64),
		rejections:    make(map[string]*rejection),
		rejectionKeys: make(map[string]string),
		submissions:   make(map[string]submissionRef),
		orphans:       make(map[string]bool),
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

// Waiting returns the sum of the tokens of the open items that a workspace has on a route,
// including items that are running; for "" that of all jobs without a workspace.
func (s *State) Waiting(workspace, route string) int64 {
	return s.openTokens[quotaKey{workspace: workspace, route: route}]
}

// Apply applies the record at an offset and returns what it changed. Records must
// be applied in offset order; those already applied are skipped.
func (s *State) Apply(offset int64, key string, r *Record) Change {
	if offset < s.next {
		return Change{}
	}
	s.next = offset + 1
	switch {
	case r.Submit != nil:
		return s.applySubmission(key, r)
	case r.Rejection != nil:
		s.Reject(key, r)
		return Change{}
	}
	job := s.jobs[r.Job]
	if job == nil {
		s.orphans[key] = true
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
	s.submissions[key] = submissionRef{job: r.Job, attempt: sub.Attempt}
	switch verdict {
	case Accepted:
		s.accept(key, r)
	case Repeated:
		job := s.jobs[r.Job]
		job.duplicateKeys = append(job.duplicateKeys, key)
		// A duplicate of the accepted record refers to the same payloads.
		if job.Submission.Attempt != sub.Attempt {
			job.payloadKeys = append(job.payloadKeys, inputKeys(sub)...)
		}
	default:
		rejected := s.rejection(r.Job, sub.Attempt, sub.SubmittedMillis)
		rejected.submissionKeys = append(rejected.submissionKeys, key)
		rejected.payloadKeys = inputKeys(sub)
	}
	return Change{Attempt: sub.Attempt, Verdict: verdict, Job: s.jobs[r.Job]}
}

// rejection returns what is known of a rejected attempt.
func (s *State) rejection(job, attempt string, submittedMillis int64) *rejection {
	if s.rejections[attempt] == nil {
		s.rejections[attempt] = &rejection{job: job, submittedMillis: submittedMillis}
	}
	return s.rejections[attempt]
}

// Reject applies a record of a rejection. Unlike with Apply the order does not matter: a host that
// lists the ledger has to know all rejections before it decides on the submissions that are left.
func (s *State) Reject(key string, r *Record) {
	s.rejection(r.Job, r.Rejection.Attempt, r.Rejection.SubmittedMillis).recordKey = key
	s.rejectionKeys[key] = r.Rejection.Attempt
}

func (s *State) decideVerdict(r *Record) Verdict {
	switch {
	case s.jobs[r.Job] != nil:
		return Repeated
	case s.rejections[r.Submit.Attempt] != nil:
		return OverQuota
	case r.Submit.Quota > 0 && s.openTokens[r.Submit.quotaKey()]+r.Submit.Tokens > r.Submit.Quota:
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
		acceptedKey: key,
		payloadKeys: inputKeys(r.Submit),
	}
	s.openTokens[r.Submit.quotaKey()] += r.Submit.Tokens
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
	key := job.Submission.quotaKey()
	if s.openTokens[key] -= tokens; s.openTokens[key] <= 0 {
		delete(s.openTokens, key)
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

// ApplyDeletion applies the deletion of a key at an offset, and returns the job whose accepted
// submission it deletes, or nil. Such a job is unknown from then on.
func (s *State) ApplyDeletion(offset int64, key string) *Job {
	if offset < s.next {
		return nil
	}
	s.next = offset + 1
	return s.delete(key)
}

func (s *State) delete(key string) *Job {
	delete(s.orphans, key)
	ref, found := s.submissions[key]
	if !found {
		s.deleteRejection(key)
		return nil
	}
	delete(s.submissions, key)
	if job := s.jobs[ref.job]; job != nil {
		if job.acceptedKey == key {
			s.drop(job)
			return job
		}
		job.duplicateKeys = withoutKey(job.duplicateKeys, key)
	}
	if rejected := s.rejections[ref.attempt]; rejected != nil {
		rejected.submissionKeys = withoutKey(rejected.submissionKeys, key)
	}
	return nil
}

// deleteRejection applies that the ledger no longer holds the record of a rejection. The rejection
// itself is kept until Cleanup finds it expired.
func (s *State) deleteRejection(key string) {
	if rejected := s.rejections[s.rejectionKeys[key]]; rejected != nil {
		rejected.recordKey = ""
	}
	delete(s.rejectionKeys, key)
}

// drop removes a job. What is left of its records belongs to no job.
func (s *State) drop(job *Job) {
	s.applyCancel(job) // Subtracts the tokens of items that are still open.
	delete(s.jobs, job.ID)
	for _, key := range append(job.duplicateKeys, job.recordKeys...) {
		delete(s.submissions, key)
		s.orphans[key] = true
	}
}

func withoutKey(keys []string, key string) []string {
	if i := slices.Index(keys, key); i >= 0 {
		return slices.Delete(keys, i, i+1)
	}
	return keys
}

// Retain applies the deletions that a host missed which lists the ledger again: of what was
// applied so far, only the listed keys are left. It returns the jobs that are gone.
func (s *State) Retain(listed map[string]bool) []*Job {
	var gone []*Job
	for key := range s.submissions {
		if !listed[key] {
			if job := s.delete(key); job != nil {
				gone = append(gone, job)
			}
		}
	}
	for key := range s.rejectionKeys {
		if !listed[key] {
			s.deleteRejection(key)
		}
	}
	maps.DeleteFunc(s.orphans, func(key string, _ bool) bool { return !listed[key] })
	return gone
}

// Cleanup returns what is left to be written and deleted. Ended jobs and rejections expire if they
// were submitted before a time, in Unix milliseconds; rejections that have expired and that the
// ledger does not keep any more are forgotten.
func (s *State) Cleanup(expiredMillis int64) Cleanup {
	var c Cleanup
	for attempt, r := range s.rejections {
		expired := r.submittedMillis < expiredMillis
		switch {
		case expired && len(r.submissionKeys) == 0 && r.recordKey == "":
			delete(s.rejections, attempt)
		case expired && r.settled():
			c.Records = append(c.Records, r.recordKey)
		case r.recordKey == "":
			c.Rejections = append(c.Rejections, Record{Job: r.job, Rejection: &Rejection{Attempt: attempt, SubmittedMillis: r.submittedMillis}})
		}
		if len(r.submissionKeys) > 0 {
			c.Records = append(c.Records, r.submissionKeys...)
			c.Payloads = append(c.Payloads, r.payloadKeys...)
		}
	}
	c.Records = slices.AppendSeq(c.Records, maps.Keys(s.orphans))
	for _, job := range s.jobs {
		if job.Open() == 0 && job.Submission.SubmittedMillis < expiredMillis {
			c.Records = append(c.Records, job.deletionOrder()...)
			c.Payloads = append(c.Payloads, job.payloadKeys...)
		}
	}
	return c
}
