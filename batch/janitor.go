package batch

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
)

const (
	// maxClockSkew is the allowed difference between the wall clocks of hosts. The age of
	// a job is measured from the wall clock of the host that accepted it.
	maxClockSkew = 5 * time.Second
	// maxTombstonesPerAppend bounds the number of keys that one append deletes.
	maxTombstonesPerAppend = 500
)

// FailUnrunnable records a dead result for each open item that can't be run any more,
// because the route of its job no longer exists or the retention time has passed.
func (l *Ledger) FailUnrunnable(ctx context.Context, now time.Time) {
	if len(l.findUnrunnableJobs(now)) == 0 {
		return
	}
	// Another host may have accepted a job by a route that this host has not read yet.
	if err := l.opts.ConfirmConfiguration(ctx); err != nil {
		_ = level.Info(l.opts.Logger).Log("event", "configuration_not_confirmed", "err", err)
		return
	}
	for _, j := range l.findUnrunnableJobs(now) {
		for _, item := range j.items {
			err := l.Write(ctx, "result", &jobs.Record{Job: j.job, Result: &jobs.Result{Item: item, Dead: true, Reason: j.reason}})
			if err != nil {
				return
			}
			_ = level.Info(l.opts.Logger).Log("event", "item_given_up", "job", j.job, "item", item, "reason", j.reason)
		}
	}
}

// unrunnableJob is a job with open items that can't be run any more.
type unrunnableJob struct {
	job    string
	items  []int
	reason string
}

// findUnrunnableJobs returns the jobs whose open items can't be run any more. It
// returns none while the store is unreachable or no configuration is known.
func (l *Ledger) findUnrunnableJobs(now time.Time) []unrunnableJob {
	if l.storeUnreachable.Load() || l.opts.Configuration() == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []unrunnableJob
	for id, job := range l.state.Jobs() {
		if job.Open() == 0 {
			continue
		}
		reason := ""
		switch {
		case l.routeOf(job) == nil:
			reason = "the route is gone"
		case jobAge(job, now) > time.Duration(job.Submission.RetentionMillis)*time.Millisecond+maxClockSkew:
			reason = "the retention time is over"
		default:
			continue
		}
		j := unrunnableJob{job: id, reason: reason}
		for i := range job.Items() {
			if !job.Ended(i) {
				j.items = append(j.items, i)
			}
		}
		out = append(out, j)
	}
	return out
}

// jobAge returns the time since a job was submitted.
func jobAge(job *jobs.Job, now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(job.Submission.SubmittedMillis))
}

// DeleteExpired drops ended jobs whose status no longer has to be readable. If owns is
// set, it also deletes their records from the store; exactly one host, the owner of the
// ledger's records, should do so.
func (l *Ledger) DeleteExpired(now time.Time, owns bool) {
	removed := l.dropExpiredJobs(now)
	if !owns {
		return
	}
	// Payloads are deleted before the records that refer to them, so that the remaining
	// ones can still be found if a call fails.
	if l.deleteKeys(platform.TopicPayloads, removed.Payloads) {
		l.deleteKeys(platform.TopicJobs, removed.Records)
	}
}

// dropExpiredJobs drops ended jobs past their status retention from the state, and
// returns the keys of their records and payloads, and of records that belong to no job.
func (l *Ledger) dropExpiredJobs(now time.Time) jobs.Dropped {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := l.state.TakeOrphans()
	for id, job := range l.state.Jobs() {
		if job.Open() == 0 && jobAge(job, now) > time.Duration(l.statusRetention.Load())+maxClockSkew {
			dropped := l.state.Drop(id)
			removed.Records = append(removed.Records, dropped.Records...)
			removed.Payloads = append(removed.Payloads, dropped.Payloads...)
			delete(l.scheduledService, id)
		}
	}
	return removed
}

// deleteKeys deletes keys from the store and reports whether all were deleted.
// Remaining ones use space in the store until a host lists the ledger again and finds
// their job expired.
func (l *Ledger) deleteKeys(topic platform.Topic, keys []string) bool {
	for len(keys) > 0 {
		n := min(len(keys), maxTombstonesPerAppend)
		records := make([][]byte, n)
		for i, key := range keys[:n] {
			records[i] = platform.EncodeKeyed(key, nil)
		}
		ctx, cancel := context.WithTimeout(context.Background(), minAppendTimeout)
		_, err := l.opts.Store.Append(ctx, topic, records)
		cancel()
		if err != nil {
			_ = level.Warn(l.opts.Logger).Log("event", "records_left", "topic", topic.Name, "keys", len(keys), "err", err)
			return false
		}
		keys = keys[n:]
	}
	return true
}
