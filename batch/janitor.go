package batch

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
)

const (
	// clockMargin covers the differences between the hosts' times of day: a job's
	// times are counted from that of the host that took it.
	clockMargin = 5 * time.Second
	// tombstonesPerCall bounds the keys that one call deletes.
	tombstonesPerCall = 500
)

// GiveUp records the end of items that can't be run any more: their route is
// gone, or the time in which their results are wanted.
func (l *Ledger) GiveUp(ctx context.Context, now time.Time) {
	for _, g := range l.hopeless(now) {
		for _, item := range g.items {
			err := l.Write(ctx, "result", &jobs.Record{Job: g.job, Result: &jobs.Result{Item: item, Dead: true, Reason: g.reason}})
			if err != nil {
				return
			}
			_ = level.Info(l.opts.Logger).Log("event", "item_given_up", "job", g.job, "item", item, "reason", g.reason)
		}
	}
}

// givenUp is a job whose open items are given up.
type givenUp struct {
	job    string
	items  []int
	reason string
}

// hopeless returns the jobs whose open items can't be run any more.
func (l *Ledger) hopeless(now time.Time) []givenUp {
	if l.lost.Load() || l.opts.Configuration() == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []givenUp
	for id, job := range l.state.Jobs() {
		if job.Open() == 0 {
			continue
		}
		reason := ""
		switch {
		case l.routeOf(job) == nil:
			reason = "the route is gone"
		case age(job, now) > time.Duration(job.Submission.RetentionMillis)*time.Millisecond+clockMargin:
			reason = "the retention time is over"
		default:
			continue
		}
		g := givenUp{job: id, reason: reason}
		for i := range job.Items() {
			if !job.Ended(i) {
				g.items = append(g.items, i)
			}
		}
		out = append(out, g)
	}
	return out
}

// age returns the time since a job was handed in.
func age(job *jobs.Job, now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(job.Submission.SubmittedMillis))
}

// Forget drops the jobs that need not be readable any more. The host that owns
// the ledger's records deletes theirs from the store too.
func (l *Ledger) Forget(now time.Time, owns bool) {
	gone := l.drop(now)
	if !owns {
		return
	}
	// Payloads go first: what the ledger still names can be found again.
	if l.bury(platform.TopicPayloads, gone.Payloads) {
		l.bury(platform.TopicJobs, gone.Records)
	}
}

// drop forgets jobs and returns the keys of their records.
func (l *Ledger) drop(now time.Time) jobs.Dropped {
	l.mu.Lock()
	defer l.mu.Unlock()
	gone := l.state.TakeOrphans()
	for id, job := range l.state.Jobs() {
		if job.Open() == 0 && age(job, now) > time.Duration(l.kept.Load())+clockMargin {
			dropped := l.state.Drop(id)
			gone.Records = append(gone.Records, dropped.Records...)
			gone.Payloads = append(gone.Payloads, dropped.Payloads...)
			delete(l.placed, id)
		}
	}
	return gone
}

// bury deletes keys from the store and reports whether all are. Those that are
// left cost room until a host lists the ledger anew, and finds the job too old.
func (l *Ledger) bury(topic platform.Topic, keys []string) bool {
	for len(keys) > 0 {
		n := min(len(keys), tombstonesPerCall)
		records := make([][]byte, n)
		for i, key := range keys[:n] {
			records[i] = platform.EncodeKeyed(key, nil)
		}
		ctx, cancel := context.WithTimeout(context.Background(), firstAppendTimeout)
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
