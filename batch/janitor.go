package batch

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
)

const (
	// maxClockSkew is the allowed difference between the wall clocks of hosts. The age of
	// a job is measured from the wall clock of the host that accepted it.
	maxClockSkew = 5 * time.Second
	// copyWindow bounds the time after its submission in which copies of a record may still
	// appear in the ledger: the store may carry out an append seconds after it was sent.
	copyWindow = time.Minute
	// maxRecordsPerCleanup bounds the number of records that one append of a cleanup writes or
	// deletes.
	maxRecordsPerCleanup = 500
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
			_ = level.Info(l.opts.Logger).Log(append([]any{"event", "item_given_up", "job", jobs.ChosenID(j.job), "item", item, "reason", j.reason}, j.inputs...)...)
		}
	}
}

// unrunnableJob is a job with open items that can't be run any more.
type unrunnableJob struct {
	job    string
	items  []int
	reason string
	// inputs are the log fields that tell what the reason was found by.
	inputs []any
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
		j := unrunnableJob{job: id, reason: reason, inputs: append(l.routeInputs(job), "age_ms", jobAge(job, now).Milliseconds())}
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

// DeleteExpired deletes ended jobs whose status no longer has to be readable from the store, and
// replaces the submissions that were rejected by records of their rejection. If owns is not set it
// writes nothing: exactly one host, the owner of the ledger's records, should do so. All hosts
// forget a job when they read that its records are deleted.
func (l *Ledger) DeleteExpired(now time.Time, owns bool) {
	expired := now.Add(-max(time.Duration(l.statusRetention.Load()), copyWindow) - maxClockSkew)
	l.mu.Lock()
	cleanup := l.state.Cleanup(expired.UnixMilli())
	readBack := l.state.Next() > l.cleanupOffset
	l.mu.Unlock()
	if !owns || !readBack || l.storeUnreachable.Load() {
		return
	}
	records := make([][]byte, 0, len(cleanup.Rejections)+len(cleanup.Records))
	for i := range cleanup.Rejections {
		r := &cleanup.Rejections[i]
		r.Writer = l.opts.Writer
		value, err := r.Encode()
		if err != nil {
			_ = level.Error(l.opts.Logger).Log("event", "rejection_not_written", "job", jobs.ChosenID(r.Job), "attempt", r.Rejection.Attempt, "err", err)
			return
		}
		records = append(records, platform.EncodeKeyed(jobs.RejectionKey(r.Rejection.Attempt), value))
	}
	records = append(records, deletions(cleanup.Records)...)
	if len(records) == 0 {
		return
	}
	// Payloads are deleted before the records that refer to them, so that the remaining
	// ones can still be found if a call fails.
	if _, err := l.appendAll(platform.TopicPayloads, deletions(cleanup.Payloads)); err != nil {
		return
	}
	offset, err := l.appendAll(platform.TopicJobs, records)
	l.mu.Lock()
	l.cleanupOffset = max(l.cleanupOffset, offset)
	l.mu.Unlock()
	_ = level.Info(l.opts.Logger).Log("event", "ledger_cleaned_up", "rejections", len(cleanup.Rejections),
		"records", len(cleanup.Records), "payloads", len(cleanup.Payloads), "offset", offset, "complete", err == nil)
}

// deletions returns the records that delete keys.
func deletions(keys []string) [][]byte {
	out := make([][]byte, len(keys))
	for i, key := range keys {
		out[i] = platform.EncodeKeyed(key, nil)
	}
	return out
}

// appendAll appends records in order, some at a time, up to the first append that fails, and
// returns the offset of the last one that was appended, or -1. What could not be appended is found
// again at the next cleanup.
func (l *Ledger) appendAll(topic platform.Topic, records [][]byte) (int64, error) {
	last := int64(-1)
	for part := range slices.Chunk(records, maxRecordsPerCleanup) {
		ctx, cancel := context.WithTimeout(context.Background(), minAppendTimeout)
		offset, err := l.opts.Store.Append(ctx, topic, part)
		cancel()
		if err != nil {
			_ = level.Warn(l.opts.Logger).Log("event", "records_left", "topic", topic.Name, "err", err)
			return last, err
		}
		last = offset + int64(len(part)) - 1
	}
	return last, nil
}
