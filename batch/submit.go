package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/route"
)

const defaultBodyLimit = 4 << 20

func (l *Ledger) bodyLimit() int64 {
	if c := l.opts.Configuration(); c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBodyLimit
}

// Age returns how old the picture of the ledger is.
func (l *Ledger) Age() time.Duration {
	return clock.Now().Sub(l.follower.Complete())
}

// Submit asks that a job is accepted and returns the ledger's verdict. Errors are
// ErrNotWritten, after which the job is not accepted by this call, and
// ErrUnknown.
func (l *Ledger) Submit(ctx context.Context, id, host, path string, items []jobs.Item) (jobs.Verdict, error) {
	config := l.opts.Configuration()
	var r *route.Route
	if config != nil {
		r = config.Match(host, path)
	}
	if r == nil || r.Kind != route.Batch {
		return 0, errors.Wrap(ErrNotWritten, "no route for batch jobs")
	}
	sub := submission(r, host, path, items)
	l.mu.Lock()
	known := l.state.Job(id) != nil
	fits := sub.Quota <= 0 || l.state.Waiting(sub.Route)+sub.Tokens <= sub.Quota
	l.mu.Unlock()
	switch {
	case known:
		return jobs.Repeated, nil
	case l.lost.Load() || l.follower.Complete().IsZero():
		return 0, errors.Wrap(ErrNotWritten, "the ledger can't be reached")
	case !fits:
		return jobs.OverQuota, nil
	}
	return l.write(ctx, id, sub, items)
}

func submission(r *route.Route, host, path string, items []jobs.Item) *jobs.Submission {
	s := &jobs.Submission{
		Route:           r.Name,
		Host:            host,
		Path:            path,
		Items:           len(items),
		Quota:           r.WaitingTokens,
		SubmittedMillis: time.Now().UnixMilli(),
		WindowMillis:    r.Window.Milliseconds(),
		RetentionMillis: r.Retention.Milliseconds(),
		MaxFailures:     r.MaxAttempts,
	}
	for i := range items {
		s.Tokens += items[i].Tokens
	}
	return s
}

// write writes a job's parts and its submission, and waits for the verdict.
func (l *Ledger) write(ctx context.Context, id string, sub *jobs.Submission, items []jobs.Item) (jobs.Verdict, error) {
	sub.Attempt = l.key("attempt", id)
	var calls [][]outgoing
	var call []outgoing
	size := 0
	add := func(kind string, r *jobs.Record) error {
		record, err := l.encode(kind, r)
		if err != nil {
			return errors.Wrap(ErrNotWritten, err.Error())
		}
		if size+len(record.value) > callBytes && len(call) > 0 {
			calls, call, size = append(calls, call), nil, 0
		}
		call, size = append(call, record), size+len(record.value)
		return nil
	}
	for _, p := range split(sub.Attempt, items) {
		if err := add("part", &jobs.Record{Job: id, Part: p}); err != nil {
			return 0, err
		}
	}
	if err := add("submit", &jobs.Record{Job: id, Submit: sub}); err != nil {
		return 0, err
	}
	return l.settleCalls(ctx, sub.Attempt, append(calls, call))
}

// settleCalls makes the appends one after the other, as the submission has to
// follow its parts, and waits until the submission is read back.
func (l *Ledger) settleCalls(ctx context.Context, attempt string, calls [][]outgoing) (jobs.Verdict, error) {
	verdict := make(chan jobs.Verdict, 1)
	l.mu.Lock()
	l.verdicts[attempt] = verdict
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.verdicts, attempt)
		l.mu.Unlock()
	}()
	appending, settled := context.WithCancel(ctx)
	defer settled()
	failed := make(chan error, 1)
	go func() {
		for _, records := range calls {
			if err := l.append(appending, records, nil); err != nil {
				failed <- err
				return
			}
		}
		// The record is there; what was written before is read at once.
		_ = l.follower.Refresh(appending)
		failed <- nil
	}()
	for {
		select {
		case v := <-verdict:
			return v, nil
		case err := <-failed:
			if err != nil {
				return 0, err
			}
			failed = nil
		case <-ctx.Done():
			return 0, errors.Wrap(ErrUnknown, ctx.Err().Error())
		}
	}
}

// split puts items into parts that fit into a record each. A body that doesn't
// fit goes on in further parts.
func split(attempt string, items []jobs.Item) []*jobs.Part {
	s := &splitter{attempt: attempt}
	for i := range items {
		s.add(items[i])
	}
	s.flush()
	return s.parts
}

// splitter collects the parts of an attempt.
type splitter struct {
	attempt string
	parts   []*jobs.Part
	part    jobs.Part
	size    int
}

func (s *splitter) add(item jobs.Item) {
	if s.size+len(item.Body) > recordBytes {
		s.flush()
	}
	var rest []byte
	if len(item.Body) > recordBytes {
		item.Body, rest = item.Body[:recordBytes], item.Body[recordBytes:]
	}
	s.part.Items = append(s.part.Items, item)
	s.size += len(item.Body) + itemOverhead
	for len(rest) > 0 {
		s.flush()
		n := min(len(rest), recordBytes)
		s.part.More, rest = rest[:n], rest[n:]
		s.size += n
	}
}

// flush ends a part that holds anything.
func (s *splitter) flush() {
	if s.size == 0 {
		return
	}
	part := s.part
	part.Attempt, part.Index = s.attempt, len(s.parts)
	s.parts = append(s.parts, &part)
	s.part, s.size = jobs.Part{}, 0
}

// itemOverhead is room for an item's path and headers in a record, in bytes.
const itemOverhead = 512
