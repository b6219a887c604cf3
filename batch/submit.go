package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

const defaultBodyLimit = 4 << 20

func (l *Ledger) bodyLimit() int64 {
	if c := l.opts.Configuration(); c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBodyLimit
}

// ViewAge returns the age of the ledger view.
func (l *Ledger) ViewAge() time.Duration {
	return clock.Now().Sub(l.follower.Complete())
}

// MayRepeat reports whether any caller has submitted a job with this ID to this path that was accepted. It doesn't
// wait for records that are being applied.
func (l *Ledger) MayRepeat(id, path string) bool {
	return l.submitted.has(id, path)
}

// Repeats reports whether a job with this ID was accepted from a caller for a host and path, so
// that a submission of it is accepted again, whatever the configuration allows by now.
func (l *Ledger) Repeats(id, host, path string, caller route.Caller) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	job := l.ownJob(caller, id)
	return job != nil && route.SameHost(job.Submission.Host, host) && job.Submission.Path == path
}

// Submit submits a job in the name of the caller in ctx and returns the ledger's verdict. Errors are ErrNotWritten,
// after which this call does not cause the job to be accepted, and ErrOutcomeUnknown.
func (l *Ledger) Submit(ctx context.Context, id, host, path string, items []jobs.Item) (jobs.Verdict, error) {
	l.listed.Wait(ctx)
	caller := route.CallerOf(ctx)
	l.mu.Lock()
	known := l.ownJob(caller, id) != nil
	l.mu.Unlock()
	if known {
		return jobs.Repeated, nil
	}
	config := l.opts.Configuration()
	var r *route.Route
	if config != nil {
		r = config.Match(host, path)
	}
	if r == nil || r.Kind != route.Batch {
		return 0, errors.Wrap(ErrNotWritten, "no route for batch jobs")
	}
	if config.HasWorkspaces() {
		if !r.Public && caller.Workspace == "" {
			return 0, errors.Wrap(ErrNotWritten, "the route needs a key since the request was read")
		}
		for i := range items {
			// The items are read by all hosts.
			platform.DropCaller(&items[i])
		}
	}
	sub := newSubmission(r, host, path, items)
	sub.Workspace, sub.Public = caller.Workspace, r.Public && caller.Workspace == ""
	id = jobs.ID(sub.Workspace, id)
	l.mu.Lock()
	fits := sub.Quota <= 0 || l.state.Waiting(sub.Workspace, sub.Route)+sub.Tokens <= sub.Quota
	l.mu.Unlock()
	switch {
	case l.storeUnreachable.Load() || l.follower.Complete().IsZero():
		return 0, errors.Wrap(ErrNotWritten, "the ledger can't be reached")
	case !fits:
		return jobs.OverQuota, nil
	}
	sub.AcceptedBy = l.opts.Host
	sub.Attempt = l.newKey("attempt", id)
	content, err := jobs.EncodeItems(items)
	if err != nil {
		return 0, errors.Wrap(ErrNotWritten, err.Error())
	}
	if shouldInline(l.appendTime(), r.Objective, len(content), l.hosts()) {
		sub.Inputs = []jobs.Input{{Count: len(items), Inline: content}}
	} else if err := l.writeInputs(ctx, id, sub, items); err != nil {
		return 0, err
	}
	return l.writeSubmission(ctx, id, sub)
}

func newSubmission(r *route.Route, host, path string, items []jobs.Item) *jobs.Submission {
	s := &jobs.Submission{
		Route:           r.Name,
		Host:            host,
		Path:            path,
		Items:           make([]jobs.ItemMeta, len(items)),
		Quota:           r.WaitingTokens,
		SubmittedMillis: time.Now().UnixMilli(),
		WindowMillis:    r.Window.Milliseconds(),
		RetentionMillis: r.Retention.Milliseconds(),
		MaxFailures:     r.MaxAttempts,
	}
	for i := range items {
		s.Items[i] = platform.ItemMeta(&items[i])
		s.Tokens += items[i].Tokens
	}
	return s
}

// shouldInline reports whether inputs of this size are inlined in the submission
// record, so that a single append suffices to accept a job. This is needed when the
// store takes sixty times as long as usual for some seconds, and two consecutive
// appends would exceed the objective. As all hosts read inlined inputs, they must
// remain the exception.
func shouldInline(appendTime, objective time.Duration, size, hosts int) bool {
	return size <= maxInlineBytes && size*hosts <= maxInlineFanoutBytes &&
		2*appendTime > time.Duration(submitAppendShare*float64(objective))
}

func (l *Ledger) appendTime() time.Duration {
	if l.opts.AppendTime == nil {
		return 0
	}
	return l.opts.AppendTime()
}

// writeInputs writes the inputs of a job. They are written before the submission, so
// that every host that knows the job can read them.
func (l *Ledger) writeInputs(ctx context.Context, id string, sub *jobs.Submission, items []jobs.Item) error {
	for first := 0; first < len(items); {
		count := groupSize(items[first:])
		content, err := jobs.EncodeItems(items[first : first+count])
		if err != nil {
			return errors.Wrap(ErrNotWritten, err.Error())
		}
		blob, err := l.payloads.put(ctx, l.newKey("input", id), content)
		if err != nil {
			return err
		}
		sub.Inputs = append(sub.Inputs, jobs.Input{First: first, Count: count, Blob: blob})
		first += count
	}
	return nil
}

// groupSize returns how many of the leading items are written together, at least one.
func groupSize(items []jobs.Item) int {
	size := 0
	for i := range items {
		if size += len(items[i].Body); size > maxInputGroupBytes && i > 0 {
			return i
		}
	}
	return len(items)
}

// applyAppended applies a record of this process right after its append, if all records
// before it are applied, and reports whether it did. The follower later skips the
// record. This saves the time to read the record back, which takes as long as the
// append.
func (l *Ledger) applyAppended(offset int64, key string, record *pendingRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed.Opened() && l.state.Next() == offset {
		l.apply(&platform.KeyedRecord{Key: key, Offset: offset, Value: record.value})
		return true
	}
	return false
}

// writeSubmission appends a job's submission and waits for its verdict, which is known
// once the record is applied to the view.
func (l *Ledger) writeSubmission(ctx context.Context, id string, sub *jobs.Submission) (jobs.Verdict, error) {
	record, err := l.encodeRecord("submit", &jobs.Record{Job: id, Submit: sub})
	if err != nil {
		return 0, errors.Wrap(ErrNotWritten, err.Error())
	}
	verdict := make(chan jobs.Verdict, 1)
	l.mu.Lock()
	l.pendingVerdicts[sub.Attempt] = verdict
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pendingVerdicts, sub.Attempt)
		l.mu.Unlock()
	}()
	appendContext, stopAppend := context.WithCancel(ctx)
	defer stopAppend()
	appended := make(chan error, 1)
	go func() {
		offset, key, err := l.appendRecord(appendContext, record, nil)
		if err != nil {
			appended <- err
			return
		}
		if l.applyAppended(offset, key, &record) {
			appended <- nil
			return
		}
		// The record is in the ledger; refresh at once to apply it and the records before it.
		_ = l.follower.Refresh(appendContext)
		appended <- nil
	}()
	for {
		select {
		case v := <-verdict:
			return v, nil
		case err := <-appended:
			if err != nil {
				return 0, err
			}
			appended = nil
		case <-ctx.Done():
			if appended != nil {
				// The append ends with ctx, and tells whether the record may be in the ledger.
				if err := <-appended; err != nil {
					return 0, err
				}
			}
			return 0, errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
		}
	}
}
