package batch

import (
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
)

// Reschedule schedules open items again if the configuration in force assigns their job
// to another service than before. It is called with each new configuration.
func (l *Ledger) Reschedule() {
	if l.hasPublicRoute() {
		l.hadPublicRoute.Store(true)
	}
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
