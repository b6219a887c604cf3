package batch

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/startup"
)

// Ledger maintains this host's view of all batch jobs and writes their records. It is a
// follow.Handler. Its methods are safe for concurrent use.
type Ledger struct {
	opts             Options
	follower         *follow.Follower
	payloads         *payloadStore
	progress         *progressStore
	metrics          *metrics
	seq              atomic.Int64
	statusRetention  atomic.Int64
	storeUnreachable atomic.Bool
	// hadPublicRoute is set once a configuration with a public route for jobs has been in force.
	hadPublicRoute atomic.Bool
	// listed opens after the first listing of the ledger.
	listed *startup.Gate
	// submitted holds the jobs of state.
	submitted *submittedJobs

	mu    sync.Mutex
	state *jobs.State
	// cleanupOffset is the offset of the last record that DeleteExpired has written, -1 before.
	cleanupOffset int64
	// listing is true while records of a listing are applied. Later records of the listing
	// may end the items of earlier ones, so no items are offered meanwhile.
	listing bool
	// pendingVerdicts holds, by jobs.Submission.Attempt, the submissions of this process
	// that wait for a verdict.
	pendingVerdicts map[string]chan jobs.Verdict
	// pendingWrites holds, by key, the other records of this process that have not been
	// read back yet.
	pendingWrites map[string]chan struct{}
	// scheduledService is, by job, the service for which the job's items were last
	// scheduled, or "" if there was none.
	scheduledService map[string]string
	// watchers holds, by job, a channel that is closed when the job changes.
	watchers map[string]chan struct{}
}

// NewLedger returns a Ledger. Its view is empty until its follower runs.
func NewLedger(o Options) *Ledger {
	l := &Ledger{
		opts:             o,
		payloads:         newPayloadStore(o.Store, o.CacheBytes),
		progress:         newProgressStore(),
		metrics:          newMetrics(o.Registerer),
		state:            jobs.NewState(),
		listed:           startup.NewGate(),
		submitted:        newSubmittedJobs(),
		pendingVerdicts:  make(map[string]chan jobs.Verdict),
		pendingWrites:    make(map[string]chan struct{}),
		scheduledService: make(map[string]string),
		watchers:         make(map[string]chan struct{}),
		cleanupOffset:    -1,
	}
	l.SetStatusRetention(o.StatusRetention)
	l.follower = follow.New(follow.Options{
		Store: o.Store, Topic: platform.TopicJobs, Handler: l,
		Wait: followWait, Pause: followPause, Hosts: o.Hosts, After: o.After, Logger: o.Logger,
	})
	return l
}

// SetStatusRetention sets how long after its submission the status of an ended job can be
// read.
func (l *Ledger) SetStatusRetention(d time.Duration) {
	l.statusRetention.Store(int64(d))
}

// Follower returns the service that follows the ledger in the store.
func (l *Ledger) Follower() *follow.Follower {
	return l.follower
}

// Listed implements follow.Handler. The pages of a listing are read at different times:
// a later page may hold a record whose predecessors are missing from an earlier page.
// Records from offset end on are therefore skipped; the follower reads them afterwards,
// complete and in order.
func (l *Ledger) Listed(_ time.Time, records []platform.KeyedRecord, end int64) {
	n := sort.Search(len(records), func(i int) bool { return records[i].Offset >= end })
	l.mu.Lock()
	l.listing = true
	l.applyListed(records, end)
	l.applyAll(records[:n])
	l.listing = false
	l.mu.Unlock()
	l.listed.Open()
	if offers := l.Offers(); len(offers) > 0 {
		l.opts.Offer(offers)
	}
}

// Changed implements follow.Handler.
func (l *Ledger) Changed(_ time.Time, records []platform.KeyedRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyAll(records)
}

// applyAll applies records in order. l.mu must be held.
func (l *Ledger) applyAll(records []platform.KeyedRecord) {
	for i := range records {
		l.apply(&records[i])
	}
}

// Lost implements follow.Handler.
func (l *Ledger) Lost(time.Time) { l.storeUnreachable.Store(true) }

// Regained implements follow.Handler.
func (l *Ledger) Regained(time.Time) { l.storeUnreachable.Store(false) }

// apply applies one record to the state. l.mu must be held.
func (l *Ledger) apply(r *platform.KeyedRecord) {
	if r.Deletes() {
		if job := l.state.ApplyDeletion(r.Offset, r.Key); job != nil {
			l.forget(job)
		}
		return
	}
	record := l.decode(r)
	if record == nil {
		return
	}
	change := l.state.Apply(r.Offset, r.Key, record)
	base := baseKey(r.Key)
	if ch := l.pendingWrites[base]; ch != nil {
		delete(l.pendingWrites, base)
		close(ch)
	}
	l.handleChange(r.Offset, record, &change)
}

// decode returns a record of the ledger, or nil if it can't be decoded.
func (l *Ledger) decode(r *platform.KeyedRecord) *jobs.Record {
	record, err := jobs.DecodeRecord(r.Value)
	if err != nil {
		_ = level.Error(l.opts.Logger).Log("event", "ledger_record_unreadable", "key", r.Key, "offset", r.Offset, "err", err)
		return nil
	}
	return record
}

// handleChange informs the scheduler, watchers and metrics of a change that a record
// made. l.mu must be held.
func (l *Ledger) handleChange(offset int64, r *jobs.Record, c *jobs.Change) {
	switch {
	case c.Attempt != "":
		l.handleVerdict(offset, r, c)
	case c.Ended:
		l.metrics.results.WithLabelValues(resultState(r.Result)).Inc()
		l.dropItem(c.Job, c.Item)
		l.notifyWatchers(c.Job.ID)
	case c.Checkpointed:
		l.opts.Scheduler.Progress(scheduler.ItemRef{Job: c.Job.ID, Item: c.Item}, l.checkpointedTokens(c.Job, c.Item), c.Job.Partial(c.Item).Version)
	case c.Cancelled:
		for i := range c.Job.Items() {
			l.dropItem(c.Job, i)
		}
		_ = level.Info(l.opts.Logger).Log("event", "job_cancelled", "job", jobs.ChosenID(c.Job.ID), "workspace", c.Job.Submission.Workspace, "offset", offset, "results", len(c.Job.Results))
		l.notifyWatchers(c.Job.ID)
	}
}

// checkpointedTokens returns the number of an item's tokens that are saved in the
// ledger. l.mu must be held.
func (l *Ledger) checkpointedTokens(job *jobs.Job, item int) int {
	config, p := l.opts.Configuration(), job.Partial(item)
	if config == nil || p == nil {
		return 0
	}
	return p.Events * config.TokensPerEvent(l.scheduledService[job.ID])
}

// hosts returns the number of hosts that follow the ledger, at least 1.
func (l *Ledger) hosts() int {
	if l.opts.Hosts == nil {
		return 1
	}
	return max(1, l.opts.Hosts())
}

// dropItem discards the progress of an item that must not be run any more and removes
// it from the scheduler.
func (l *Ledger) dropItem(job *jobs.Job, item int) {
	ref := scheduler.ItemRef{Job: job.ID, Item: item}
	l.progress.drop(ref)
	l.opts.Scheduler.DropItem(ref)
}

// ResumableItems returns the unfinished items that this host can resume from progress in
// its memory.
func (l *Ledger) ResumableItems() []scheduler.Resumable {
	return l.progress.list()
}

// handleVerdict schedules the items of an accepted job, and passes the verdict to the
// submission that waits for it. l.mu must be held.
func (l *Ledger) handleVerdict(offset int64, r *jobs.Record, c *jobs.Change) {
	switch c.Verdict {
	case jobs.OverQuota:
		_ = level.Info(l.opts.Logger).Log("event", "job_rejected", "job", jobs.ChosenID(r.Job), "workspace", r.Submit.Workspace, "attempt", c.Attempt, "offset", offset,
			"tokens", r.Submit.Tokens, "open_tokens", l.state.Waiting(r.Submit.Workspace, r.Submit.Route), "quota", r.Submit.Quota, "listing", l.listing)
	case jobs.Accepted:
		l.submitted.add(c.Job)
		l.scheduleItems(c.Job)
		if l.isOwn(c.Job) && !l.listing {
			l.opts.Offer(l.appendOffers(nil, time.Now(), c.Job))
		}
		_ = level.Info(l.opts.Logger).Log("event", "job_accepted", "job", jobs.ChosenID(c.Job.ID), "workspace", c.Job.Submission.Workspace, "offset", offset,
			"items", len(c.Job.Items()), "tokens", c.Job.Submission.Tokens, "route", c.Job.Submission.Route)
	}
	if ch := l.pendingVerdicts[c.Attempt]; ch != nil {
		delete(l.pendingVerdicts, c.Attempt)
		ch <- c.Verdict
	}
}

// scheduleItems adds a job's open items to the scheduler if a service runs them. l.mu
// must be held.
func (l *Ledger) scheduleItems(job *jobs.Job) {
	service := l.serviceOf(job)
	l.scheduledService[job.ID] = service
	if service == "" {
		return
	}
	for _, item := range openItems(time.Now(), job, service) {
		l.opts.Scheduler.AddItem(item)
	}
}

// openItems returns the items of a job that have no result, to be run by a service.
func openItems(now time.Time, job *jobs.Job, service string) []scheduler.Item {
	due := now.Add(time.Duration(job.Submission.WindowMillis) * time.Millisecond)
	if age := now.Sub(time.UnixMilli(job.Submission.SubmittedMillis)); age > 0 {
		due = due.Add(-age)
	}
	var out []scheduler.Item
	for i, meta := range job.Items() {
		if job.Ended(i) {
			continue
		}
		out = append(out, scheduler.Item{
			Ref:            scheduler.ItemRef{Job: job.ID, Item: i},
			Service:        service,
			Due:            due,
			PromptTokens:   meta.PromptTokens,
			ExpectedTokens: meta.ExpectedTokens,
			Prefix:         meta.Prefix,
			PrefixTokens:   meta.PrefixTokens,
			Workspace:      job.Submission.Workspace,
			InputHost:      job.Submission.AcceptedBy,
		})
	}
	return out
}

// notifyWatchers wakes all goroutines that wait for a job to change. l.mu must be held.
func (l *Ledger) notifyWatchers(job string) {
	if ch := l.watchers[job]; ch != nil {
		delete(l.watchers, job)
		close(ch)
	}
}

// watch returns a channel that is closed at the next change of a job. l.mu must be
// held.
func (l *Ledger) watch(job string) <-chan struct{} {
	ch := l.watchers[job]
	if ch == nil {
		ch = make(chan struct{})
		l.watchers[job] = ch
	}
	return ch
}

// readItem returns an item as it was submitted, reading its input from the store if
// needed. The error is ErrUnreadable.
func (l *Ledger) readItem(ctx context.Context, job *jobs.Job, number int) (*jobs.Item, error) {
	// The inputs of an accepted job are immutable, so no lock is needed.
	in, i := job.Input(number)
	if in == nil {
		return nil, errors.Wrapf(ErrUnreadable, "job %s has no input of item %d", job.ID, number)
	}
	content := in.Inline
	if content == nil {
		var err error
		if content, err = l.payloads.get(ctx, &in.Blob); err != nil {
			return nil, err
		}
	}
	items, err := jobs.DecodeItems(content)
	if err != nil || i >= len(items) {
		return nil, errors.Wrapf(ErrUnreadable, "input of item %d of job %s: %v", number, job.ID, err)
	}
	return &items[i], nil
}

// Confirm ensures that the ledger view includes all records written before the call, or
// is at most maxViewAge old. The error is follow.ErrStale.
func (l *Ledger) Confirm(ctx context.Context) error {
	if clock.Now().Sub(l.follower.Complete()) <= maxViewAge {
		return nil
	}
	return l.refresh(ctx)
}

// catchUp refreshes a ledger view that is older than it gets while this host runs. During an outage of the
// store, items run by the view that there is.
func (l *Ledger) catchUp(ctx context.Context) {
	age := l.ViewAge()
	if age <= maxRunViewAge || l.storeUnreachable.Load() {
		return
	}
	err := l.refresh(ctx)
	_ = level.Info(l.opts.Logger).Log("event", "ledger_caught_up", "ledger_age_ms", age.Milliseconds(), "err", err)
}

// refresh ensures that the ledger view includes all records written before the call.
// The error is follow.ErrStale.
func (l *Ledger) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	return l.follower.Refresh(ctx)
}

// newKey returns a unique key for a record or payload.
func (l *Ledger) newKey(kind, job string) string {
	if len(job) > maxKeyJobBytes {
		// The store's client cuts long keys, at the end where they differ.
		job = strconv.FormatUint(xxhash.Sum64String(job), 36)
	}
	return fmt.Sprintf("%s/%s/%s.%d", kind, job, l.opts.Writer, l.seq.Add(1))
}

// encodeRecord returns a record under a new key, encoded for an append.
func (l *Ledger) encodeRecord(kind string, r *jobs.Record) (pendingRecord, error) {
	r.Writer = l.opts.Writer
	value, err := r.Encode()
	return pendingRecord{key: l.newKey(kind, r.Job), value: value}, err
}

// Write appends one record and returns when it is in the ledger: the store has
// acknowledged it, or the record was read back. It retries until ctx ends. Errors are
// ErrNotWritten and ErrOutcomeUnknown.
func (l *Ledger) Write(ctx context.Context, kind string, r *jobs.Record) error {
	record, err := l.encodeRecord(kind, r)
	if err != nil {
		return errors.Wrap(ErrNotWritten, err.Error())
	}
	readBack := make(chan struct{})
	l.mu.Lock()
	l.pendingWrites[record.key] = readBack
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pendingWrites, record.key)
		l.mu.Unlock()
	}()
	_, _, err = l.appendRecord(ctx, record, readBack)
	return err
}

// appendRecord retries an append until the store acknowledges or rejects it, the record
// was read back from the ledger, or ctx ends. The ledger may get several copies of the
// record, of which only the first has an effect. It returns the offset and key of the
// acknowledged copy, or a negative offset if the record was only read back.
func (l *Ledger) appendRecord(ctx context.Context, record pendingRecord, readBack <-chan struct{}) (int64, string, error) {
	mayExist := false
	retry := newBackoff()
	for attempt := 0; ; attempt++ {
		appendContext, cancel := retry.attemptContext(ctx)
		offset, err := l.opts.Store.Append(appendContext, platform.TopicJobs, [][]byte{record.encode(attempt)})
		cancel()
		if err == nil {
			return offset, record.attemptKey(attempt), nil
		}
		// A rejection says nothing of the attempts before.
		rejected := errors.Is(err, platform.ErrRejected)
		mayExist = mayExist || mayBeWritten(err)
		if !rejected && retry.wait(ctx, readBack) {
			continue
		}
		switch {
		case !rejected && ctx.Err() == nil:
			return -1, "", nil
		case mayExist:
			return -1, "", errors.Wrap(ErrOutcomeUnknown, err.Error())
		default:
			return -1, "", errors.Wrap(ErrNotWritten, err.Error())
		}
	}
}

func resultState(r *jobs.Result) string {
	if r.Dead {
		return "dead"
	}
	return "done"
}
