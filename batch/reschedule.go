package batch

import (
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
)

// Reschedule schedules open items again if the configuration in force assigns their job
// to another service than before.
func (l *Ledger) Reschedule() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, job := range l.state.Jobs() {
		service := l.serviceOf(job)
		if job.Open() == 0 || service == l.scheduledService[job.ID] {
			continue
		}
		_ = level.Info(l.opts.Logger).Log(append([]any{"event", "job_rescheduled", "job", jobs.ChosenID(job.ID), "open_items", job.Open(),
			"service_before", l.scheduledService[job.ID], "service", service}, l.routeInputs(job)...)...)
		for i := range job.Items() {
			l.opts.Scheduler.DropItem(scheduler.ItemRef{Job: job.ID, Item: i})
		}
		l.scheduleItems(job)
	}
}

// routeInputs returns, as fields of a log line, what the route of a job is looked up by: the route, host and
// path in its record, and the version of the configuration with the route that this path selects there.
func (l *Ledger) routeInputs(job *jobs.Job) []any {
	sub := &job.Submission
	fields := []any{"route", sub.Route, "submitted_to", sub.Host + sub.Path}
	config := l.opts.Configuration()
	if config == nil {
		return fields
	}
	selected := ""
	if r := config.Match(sub.Host, sub.Path); r != nil {
		selected = r.Name + " (" + r.Kind.String() + ")"
	}
	return append(fields, "configuration", config.Version, "route_in_force", config.Route(sub.Route) != nil, "path_selects", selected)
}
