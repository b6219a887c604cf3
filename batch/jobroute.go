package batch

import (
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/route"
)

// routeOf returns the route through which a job was accepted, as the configuration in force has it, or nil if the
// route has ended. Whatever depends on the route of an accepted job asks here: the path of its submission may
// select another route by now.
func (l *Ledger) routeOf(job *jobs.Job) *route.Route {
	config := l.opts.Configuration()
	if config == nil {
		return nil
	}
	sub := &job.Submission
	return config.JobRoute(sub.Route, sub.Host, sub.Path)
}

// serviceOf returns the service that runs a job's items in the configuration in force,
// or "" if the job's route has ended.
func (l *Ledger) serviceOf(job *jobs.Job) string {
	if r := l.routeOf(job); r != nil {
		return r.Pick(0)
	}
	return ""
}

// bounds returns the response time objective and the time window of the job that a caller submitted under an id;
// zero if they are not known. A repeated submission has those of the accepted one.
func (l *Ledger) bounds(caller route.Caller, id string) (objective, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job := l.ownJob(caller, id)
	if job == nil {
		return 0, 0
	}
	if r := l.routeOf(job); r != nil {
		objective = r.Objective
	}
	return objective, time.Duration(job.Submission.WindowMillis) * time.Millisecond
}

// maxLoggedPath bounds the path of a submission in log lines, in bytes, because callers choose it.
const maxLoggedPath = 200

// routeInputs returns, as fields of a log line, what the route of a job is looked up by: the route, host and
// path in its record, and the version of the configuration with the route that this path selects there.
func (l *Ledger) routeInputs(job *jobs.Job) []any {
	sub := &job.Submission
	fields := []any{"route", sub.Route, "submitted_to", sub.Host + sub.Path[:min(len(sub.Path), maxLoggedPath)]}
	config := l.opts.Configuration()
	if config == nil {
		return fields
	}
	selected := ""
	if r := config.Match(sub.Host, sub.Path); r != nil {
		selected = r.Name + " (" + r.Kind.String() + ")"
	}
	return append(fields, "configuration", config.Version, "route_in_force", l.routeOf(job) != nil, "path_selects", selected)
}
