package batch

import "github.com/peridotmount/peridotmount/scheduler"

// Reschedule hands the open items to the scheduler anew: the configuration may
// send them elsewhere now.
func (l *Ledger) Reschedule() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, job := range l.state.Jobs() {
		service := l.serviceOf(job)
		if job.Open() == 0 || service == l.placed[job.ID] {
			continue
		}
		for i := range job.Items() {
			l.opts.Scheduler.DropItem(scheduler.ItemRef{Job: job.ID, Item: i})
		}
		l.schedule(job)
	}
}
