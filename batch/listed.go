package batch

import (
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
)

// applyListed applies what a listing tells apart from the order of its records: all rejections, as
// the submissions that they decide on may be deleted but for a late copy, and what is missing since
// an earlier listing. l.mu must be held.
func (l *Ledger) applyListed(records []platform.KeyedRecord, end int64) {
	listed := make(map[string]bool, len(records))
	for i := range records {
		listed[records[i].Key] = true
		if !jobs.IsRejectionKey(records[i].Key) {
			continue
		}
		if record := l.decode(&records[i]); record != nil && record.Rejection != nil {
			l.state.Reject(records[i].Key, record)
		}
	}
	if l.state.Next() > end {
		return // All deletions before the listing were read.
	}
	for _, job := range l.state.Retain(listed) {
		l.forget(job)
	}
}

// forget removes what is kept for a job that was deleted from the ledger. l.mu must be held.
func (l *Ledger) forget(job *jobs.Job) {
	for i := range job.Items() {
		if !job.Ended(i) {
			l.dropItem(job, i)
		}
	}
	l.submitted.remove(job)
	delete(l.scheduledService, job.ID)
	l.notifyWatchers(job.ID)
}
