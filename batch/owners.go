package batch

import (
	"context"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/route"
)

// ownJob returns the job that a caller submitted under an id, or nil. A job of an older build
// that recorded no workspace belongs to every caller with a key. l.mu must be held.
func (l *Ledger) ownJob(caller route.Caller, id string) *jobs.Job {
	if caller.Workspace != "" {
		if job := l.state.Job(jobs.ID(caller.Workspace, id)); job != nil {
			return job
		}
	}
	job := l.state.Job(id)
	switch {
	case job == nil && !caller.Checked:
		return l.jobOfAnyWorkspace(id)
	case job == nil || job.Submission.Workspace != "":
		// The id that a client asks for may look like one that the ledger made.
		return nil
	case caller.Checked && (caller.Workspace == "") != job.Submission.Public:
		return nil
	default:
		return job
	}
}

// readableJob returns the job that a caller may read and end under an id, or nil: its own, and
// else one of a public route. l.mu must be held.
func (l *Ledger) readableJob(caller route.Caller, id string) *jobs.Job {
	if job := l.ownJob(caller, id); job != nil {
		return job
	}
	return l.publicJob(id)
}

// publicJob returns the job of a public route with an id, or nil. l.mu must be held.
func (l *Ledger) publicJob(id string) *jobs.Job {
	if job := l.state.Job(id); job != nil && job.Submission.Workspace == "" && job.Submission.Public {
		return job
	}
	return nil
}

// jobOfAnyWorkspace returns a job by the id that its client chose. It is for a configuration
// that has no workspaces any more, so that the jobs of former ones can still be read.
func (l *Ledger) jobOfAnyWorkspace(id string) *jobs.Job {
	for _, job := range l.state.Jobs() {
		if job.Submission.Workspace != "" && jobs.ChosenID(job.ID) == id {
			return job
		}
	}
	return nil
}

// IsPublic reports whether a job was submitted through a public route. If the ledger view lacks the job and there have
// been public routes for jobs since this host started, it refreshes the view; the error is follow.ErrStale. A host that
// started after the last of them ended has listed the jobs.
func (l *Ledger) IsPublic(ctx context.Context, id string) (bool, error) {
	l.mu.Lock()
	public, known := l.publicJob(id) != nil, l.state.Job(id) != nil
	l.mu.Unlock()
	if known || !l.hadPublicRoute.Load() && !l.hasPublicRoute() {
		return public, nil
	}
	if err := l.refresh(ctx); err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.publicJob(id) != nil, nil
}

// hasPublicRoute reports whether the configuration in force has a public route for jobs.
func (l *Ledger) hasPublicRoute() bool {
	config := l.opts.Configuration()
	if config == nil {
		return false
	}
	for i := range config.Routes {
		if r := &config.Routes[i]; r.Kind == route.Batch && r.Public {
			return true
		}
	}
	return false
}
