package batch

import (
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
)

// Offers returns the open items of the jobs that this host accepted.
func (l *Ledger) Offers() []scheduler.Offer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var out []scheduler.Offer
	for _, job := range l.state.Jobs() {
		if l.isOwn(job) && !job.Cancelled && job.Open() > 0 {
			out = l.appendOffers(out, now, job)
		}
	}
	return out
}

// HasJob reports whether a job is in this host's view of the ledger.
func (l *Ledger) HasJob(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Job(job) != nil
}

// isOwn reports whether this host accepted a job.
func (l *Ledger) isOwn(job *jobs.Job) bool {
	return job.Submission.AcceptedBy == l.opts.Host
}

// appendOffers appends offers of a job's open items to out if a service runs them. l.mu
// must be held.
func (l *Ledger) appendOffers(out []scheduler.Offer, now time.Time, job *jobs.Job) []scheduler.Offer {
	service := l.scheduledService[job.ID]
	if service == "" {
		return out
	}
	items := openItems(now, job, service)
	for i := range items {
		out = append(out, scheduler.NewOffer(now, &items[i]))
	}
	return out
}
