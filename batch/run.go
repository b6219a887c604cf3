package batch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/pace"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/sse"
	"github.com/peridotmount/peridotmount/upstream"
)

const (
	// firstEventTimeout bounds the wait for an item's first event. The item has a free
	// slot, so a longer wait means that the endpoint has failed.
	firstEventTimeout = 2500 * time.Millisecond
	// nextEventTimeout bounds the wait for each further event. A slowed endpoint produces
	// one in about 60 ms.
	nextEventTimeout = 1200 * time.Millisecond
	// failureDelay is the pause before a failed item is run again.
	failureDelay = 200 * time.Millisecond
	// misplacedDelay is the pause before an item that can't be run yet is attempted again.
	// unreadInputDelay is the pause if the store did not return the item's input: an
	// outage lasts for seconds, and each attempt occupies a slot meanwhile.
	misplacedDelay = 250 * time.Millisecond
	// cutOffDelay is the pause if this host reaches no endpoint, and no other host helps.
	cutOffDelay      = 500 * time.Millisecond
	unreadInputDelay = time.Second
	// maxOutputBytes bounds the output of an item. A client reads at most 1 MB of results
	// at a time.
	maxOutputBytes = 1 << 20
)

// Reasons why an item is not run.
const (
	// reasonUnknownItem means that the item is not in this host's view of the ledger.
	reasonUnknownItem = "item is not in the ledger view yet"
	// reasonItemEnded means that the ledger has a result of the item, or that its job was
	// cancelled.
	reasonItemEnded = "item has ended"
)

// Errors that end a run.
var (
	// errEventTimeout means that the endpoint sent no event in time.
	errEventTimeout = errors.New("endpoint is silent")
	// errNoStream means that the endpoint answered with a success that is no event stream.
	errNoStream = errors.New("response is no event stream")
	// errNoEvents means that a stream ended with its connection before any event.
	errNoEvents = errors.New("stream ended before its first event")
	// errOutputTooLarge means that the output of the item exceeds maxOutputBytes.
	errOutputTooLarge = errors.New("endpoint makes more than the item may have")
)

// itemRun is a single run of an item.
type itemRun struct {
	*Runner
	ref         scheduler.ItemRef
	job         *jobs.Job
	item        *jobs.Item
	route       *route.Route
	endpoint    *endpoint.Endpoint
	slot        Slot
	startTime   time.Time
	priorEvents int
	events      int
	output      strings.Builder
	watch       *pace.Watch
	eventOrder  sse.OrderChecker
	// lastSnapshot is the time of the last snapshot of the item's progress for a
	// checkpoint.
	lastSnapshot time.Time
	// sentAt is when the item was sent, firstEvent and lastEvent when the first and the last
	// event of this run arrived; zero before.
	sentAt, firstEvent, lastEvent time.Time
	// open is set if the response has neither a length nor chunks.
	open bool
	// outputTooLarge is true if the endpoint sent more than maxOutputBytes.
	outputTooLarge bool
}

// prepare finds the item, reads its input and restores its progress. If the item can't
// be run, it returns the reason and the use of the slot.
func (x *itemRun) prepare(ctx context.Context) (string, scheduler.Usage) {
	saved, reason := x.findItem()
	if reason == reasonUnknownItem {
		// The scheduler has read more of the ledger than this host; catch up.
		if err := x.ledger.refresh(ctx); err != nil {
			if x.ledger.listed.Opened() {
				// The store is down. Other hosts can't read the job either, and this one runs
				// the items that it knows.
				return err.Error(), scheduler.Usage{Outcome: scheduler.Abandoned, Delay: misplacedDelay}
			}
			return err.Error(), scheduler.Usage{Outcome: scheduler.LedgerUnread}
		}
		saved, reason = x.findItem()
	}
	if reason != "" {
		return reason, misplacedUse(reason)
	}
	item, err := x.ledger.readItem(ctx, x.job, x.ref.Item)
	if err != nil {
		return err.Error(), scheduler.Usage{Outcome: scheduler.Abandoned, Delay: unreadInputDelay}
	}
	x.item = item
	x.restoreProgress(ctx, saved)
	return "", scheduler.Usage{}
}

// misplacedUse returns the use of the slot of an item that can't be run for a reason of findItem. An item
// that has ended has its result in the ledger; the scheduler just has not read it yet.
func misplacedUse(reason string) scheduler.Usage {
	return scheduler.Usage{Outcome: scheduler.Abandoned, Delay: misplacedDelay, Settled: reason == reasonItemEnded}
}

// findItem sets the job and route of the item. It returns the item's progress in the
// ledger, if any, or the reason why the item can't be run.
func (x *itemRun) findItem() (*jobs.Partial, string) {
	l := x.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	x.job = l.state.Job(x.ref.Job)
	if x.job == nil || x.ref.Item >= len(x.job.Items()) {
		return nil, reasonUnknownItem
	}
	if x.job.Cancelled || x.job.Ended(x.ref.Item) {
		return nil, reasonItemEnded
	}
	x.route = l.routeOf(x.job)
	if x.route == nil || (x.endpoint != nil && !x.route.Allows(x.endpoint.Service)) {
		return nil, "the job's route does not include the endpoint's service"
	}
	return x.job.Partial(x.ref.Item), ""
}

// restoreProgress resumes from the output of earlier runs, at this host or another. Output
// that can't be read, or that another software version began, is generated again.
func (x *itemRun) restoreProgress(ctx context.Context, saved *jobs.Partial) {
	p := x.ledger.progress.get(x.ref)
	version := ""
	if x.endpoint != nil {
		version = x.endpoint.Version
	}
	if p.events > 0 && p.version != version {
		_ = level.Info(x.ledger.opts.Logger).Log("event", "progress_of_other_version", "job", jobs.ChosenID(x.ref.Job), "item", x.ref.Item,
			"events", p.events, "version", p.version, "endpoint_version", version)
		p = itemProgress{}
	}
	if saved != nil && !p.unusable && saved.Events > p.events && saved.Version == version {
		output, err := x.ledger.payloads.get(ctx, &saved.Output)
		if err != nil {
			_ = level.Warn(x.ledger.opts.Logger).Log("event", "partial_unread", "job", jobs.ChosenID(x.ref.Job), "item", x.ref.Item,
				"events", saved.Events, "err", err)
		} else {
			p = itemProgress{events: saved.Events, output: string(output)}
		}
	}
	x.events, x.priorEvents = p.events, p.events
	x.output.WriteString(p.output)
	x.eventOrder = sse.NewOrderChecker(strconv.Itoa(p.events))
}

// send sends the item to its endpoint and handles the response.
func (x *itemRun) send(ctx context.Context, cancel context.CancelFunc) {
	limits := pace.Limits{Stall: pace.StallAfter(x.tokensPerEvent()), First: firstEventTimeout, Next: nextEventTimeout}
	x.watch = pace.Start(limits, x.slot.ReportStalled, cancel)
	defer x.watch.Stop()
	header := platform.ItemHeader(x.item, x.endpoint.ID, x.caller())
	if x.events > 0 {
		platform.SetLastEvent(header, strconv.Itoa(x.events))
	}
	opts := &x.ledger.opts
	x.sentAt = time.Now()
	response, err := opts.Sender.Send(ctx, x.endpoint.ID, x.endpoint.Address, &upstream.Call{
		Request:    x.item.ID,
		Method:     http.MethodPost,
		Target:     x.item.Path,
		Host:       x.host(),
		Header:     header,
		Body:       x.item.Body,
		Matches:    platform.Answers(x.item.ID),
		Fresh:      x.events > 0,
		Check:      x.check(header),
		OnResponse: platform.Heads(platform.Leaving(x.endpoint, opts.OnLeaving), platform.Limit(x.endpoint, x.item.ID, clock.Now(), opts.OnLimit)),
	})
	switch {
	case err == nil:
	case errors.Is(err, upstream.ErrCutOff):
		x.endRun("cut-off", err.Error(), scheduler.Usage{Outcome: scheduler.Abandoned, Delay: cutOffDelay, TokensDone: x.tokenCount()})
		return
	case errors.Is(err, upstream.ErrOtherProcess):
		x.endRun("unread", err.Error(), scheduler.Usage{Outcome: scheduler.Unread})
		return
	case errors.Is(err, upstream.ErrNotSent):
		x.abort(ctx, scheduler.Unreachable, err)
		return
	case errors.Is(err, upstream.ErrPathLost):
		x.abort(ctx, scheduler.Abandoned, err)
		return
	default:
		x.abort(ctx, scheduler.Failed, err)
		return
	}
	defer response.Close()
	if response.OtherProcess {
		// What it makes goes on at no other endpoint.
		unknown := *x.endpoint
		unknown.Version = platform.UnknownVersion(x.endpoint)
		x.endpoint = &unknown
	}
	switch platform.Judge(response.Status, response.Header) {
	case platform.Answered:
		if !sse.IsStream(response.Status, response.Header.Get("Content-Type")) {
			x.abort(ctx, scheduler.Failed, errNoStream)
			return
		}
		x.readEvents(ctx, response)
	case platform.NotRun:
		x.endRun("not-run", "endpoint refused the item without running it", scheduler.Usage{Outcome: scheduler.Refused})
	case platform.Misdirected:
		x.endRun("misdirected", "another endpoint has the address", scheduler.Usage{Outcome: scheduler.Misdirected})
	case platform.Failed:
		response.Close()
		x.recordFailure(response.Status)
	default:
		x.abort(ctx, scheduler.Failed, errors.New("response does not identify the endpoint, or is content-encoded"))
	}
}

// caller returns in whose name the item runs: that of its job's workspace, also once the workspace
// has no key any more.
func (x *itemRun) caller() route.Caller {
	workspace, config := x.job.Submission.Workspace, x.ledger.opts.Configuration()
	return route.Caller{Checked: workspace != "" || config != nil && config.HasWorkspaces(), Workspace: workspace}
}

// host returns the host name that the item is sent with: that of the submission, as its client wrote it, unless
// the job's route has moved to another one.
func (x *itemRun) host() string {
	if submitted := x.job.Submission.Host; route.SameHost(submitted, x.route.Host) {
		return submitted
	}
	return x.route.Host
}

// check returns the check for the call, or nil.
func (x *itemRun) check(h http.Header) *upstream.Check {
	if x.ledger.opts.Check == nil {
		return nil
	}
	return x.ledger.opts.Check(x.endpoint, h)
}

// readEvents reads the event stream of the item to its end.
func (x *itemRun) readEvents(ctx context.Context, response *upstream.Response) {
	x.open = response.Open
	events := sse.NewSplitter(response)
	for {
		block, err := events.Next()
		if err != nil {
			if err == io.EOF && response.Open && x.events == x.priorEvents {
				x.abort(ctx, scheduler.Failed, errNoEvents)
				return
			}
			if err == io.EOF && !events.InsideEvent() && x.events > 0 {
				x.recordResult(response.Close())
				return
			}
			outcome := scheduler.Failed
			if errors.Is(err, upstream.ErrPathLost) {
				outcome = scheduler.Abandoned
			}
			x.abort(ctx, outcome, err)
			return
		}
		if len(block.Events) > 0 {
			// Comments do not count as progress.
			x.watch.RecordEvent()
			x.lastEvent = time.Now()
			if x.firstEvent.IsZero() {
				x.firstEvent = x.lastEvent
			}
		}
		if err := x.checkEvents(block.Events); err != nil {
			x.abort(ctx, scheduler.Failed, err)
			return
		}
		for i := range block.Events {
			if x.events > 0 {
				x.output.WriteByte('\n')
			}
			x.output.Write(block.Events[i].Data)
			x.events++
		}
		if now := time.Now(); now.Sub(x.lastSnapshot) >= snapshotInterval {
			x.lastSnapshot = now
			x.snapshotProgress()
		}
	}
}

// checkEvents returns an error if events are out of order or make the output exceed
// maxOutputBytes. The bound keeps an endpoint whose stream never ends from exhausting
// memory.
func (x *itemRun) checkEvents(events []sse.Event) error {
	if err := x.eventOrder.Check(events); err != nil {
		return err
	}
	size := x.output.Len()
	for i := range events {
		size += len(events[i].Data) + 1
	}
	if size > maxOutputBytes {
		x.outputTooLarge = true
		return errOutputTooLarge
	}
	return nil
}

// abort ends an unfinished run and keeps its progress, unless the output exceeded its
// bound, or the run showed nothing that is behind it.
func (x *itemRun) abort(ctx context.Context, outcome scheduler.Outcome, err error) {
	switch {
	case x.watch.TimedOut():
		err = errEventTimeout
	case ctx.Err() != nil:
		outcome = scheduler.Abandoned
	}
	switch {
	case x.outputTooLarge:
		// The output below the bound may be wrong too, so it is discarded.
		x.ledger.progress.drop(x.ref)
		x.events = 0
	case errors.Is(err, errNoEvents), x.eventOrder.Unnumbered:
		// If the output is whole, no run that goes on from it has an event; without numbers no
		// endpoint can be told where to go on. The next one begins anew.
		x.ledger.progress.put(x.ref, itemProgress{version: x.endpoint.Version, unusable: true})
		x.events = 0
	case x.events > x.priorEvents:
		x.saveProgress()
	}
	x.endRun(string(outcome), err.Error(), scheduler.Usage{Outcome: outcome, TokensDone: x.tokenCount()})
}

// saveProgress keeps the item's progress in memory, and also writes it to the ledger if
// this host is leaving.
func (x *itemRun) saveProgress() {
	x.snapshotProgress()
	if !x.leaving.Load() {
		return
	}
	if blob, stored := x.storeOutput(); stored {
		x.writeRecord("partial", &jobs.Record{Job: x.ref.Job, Partial: &jobs.Partial{Item: x.ref.Item, Events: x.events, Output: blob, Version: x.endpoint.Version}})
	}
}

// snapshotProgress keeps the item's progress in memory.
func (x *itemRun) snapshotProgress() {
	if x.eventOrder.Unnumbered {
		return
	}
	x.ledger.progress.put(x.ref, itemProgress{
		events: x.events, tokens: x.tokenCount(), output: x.output.String(), version: x.endpoint.Version,
	})
}

// storeOutput writes the item's output to the store and reports whether that succeeded.
// It retries for the lifetime of the process.
func (x *itemRun) storeOutput() (jobs.Blob, bool) {
	blob, err := x.ledger.payloads.put(x.recordContext, x.ledger.newKey("output", x.ref.Job), []byte(x.output.String()))
	if err != nil {
		x.logNotRecorded("output", err)
	}
	return blob, err == nil
}

// tokenCount returns the number of tokens in the events so far.
func (x *itemRun) tokenCount() int {
	return x.events * x.tokensPerEvent()
}

// tokensPerEvent returns the number of tokens in one event of the endpoint.
func (x *itemRun) tokensPerEvent() int {
	if c := x.ledger.opts.Configuration(); c != nil {
		return c.TokensPerEvent(x.endpoint.Service)
	}
	return 1
}

// recordResult releases the slot, then records the item's result.
func (x *itemRun) recordResult(reusable bool) {
	x.endRun("done", "", scheduler.Usage{Outcome: scheduler.Finished, Settled: true, Reusable: reusable})
	if blob, stored := x.storeOutput(); stored {
		x.writeRecord("result", &jobs.Record{Job: x.ref.Job, Result: &jobs.Result{Item: x.ref.Item, Output: blob}})
		x.ledger.progress.drop(x.ref)
	}
}

// recordFailure handles an error status of the endpoint. It records a dead result if
// the error is permanent or the item has failed MaxFailures times, and else a failure
// if the status is 500. Other statuses are not recorded; the run is reported to the
// scheduler as scheduler.Failed.
func (x *itemRun) recordFailure(status int) {
	x.ledger.mu.Lock()
	failures := x.job.Failures(x.ref.Item) + 1
	x.ledger.mu.Unlock()
	permanent := status == http.StatusUnprocessableEntity
	reason := "endpoint answered " + strconv.Itoa(status)
	switch {
	case permanent, status == http.StatusInternalServerError && failures >= x.job.Submission.MaxFailures:
		outcome := scheduler.Finished
		if !permanent {
			outcome = scheduler.Errored
		}
		x.endRun("dead", reason, scheduler.Usage{Outcome: outcome, Settled: true})
		x.writeRecord("result", &jobs.Record{Job: x.ref.Job, Result: &jobs.Result{Item: x.ref.Item, Dead: true, Reason: reason}})
		x.ledger.progress.drop(x.ref)
	case status == http.StatusInternalServerError:
		x.endRun("failed", reason, scheduler.Usage{Outcome: scheduler.Errored, Delay: failureDelay, TokensDone: x.tokenCount()})
		x.writeRecord("failure", &jobs.Record{Job: x.ref.Job, Failure: &jobs.Failure{
			Item: x.ref.Item, Run: x.ledger.newKey("run", x.ref.Job), Status: status,
		}})
	default:
		x.endRun("failed", reason, scheduler.Usage{Outcome: scheduler.Failed, Delay: failureDelay, TokensDone: x.tokenCount()})
	}
}

// writeRecord writes a record to the ledger, with retries for the lifetime of the
// process.
func (x *itemRun) writeRecord(kind string, r *jobs.Record) {
	if err := x.ledger.Write(x.recordContext, kind, r); err != nil {
		x.logNotRecorded(kind, err)
	}
}

func (x *itemRun) logNotRecorded(kind string, err error) {
	_ = level.Error(x.ledger.opts.Logger).Log("event", "item_not_recorded", "job", jobs.ChosenID(x.ref.Job), "item", x.ref.Item, "kind", kind, "err", err)
}

// endRun releases the slot, and counts and logs the run.
func (x *itemRun) endRun(outcome, reason string, u scheduler.Usage) {
	if x.endpoint != nil {
		u.Version = x.endpoint.Version
	}
	if !x.firstEvent.IsZero() {
		u.FirstEvent, u.Generating = x.firstEvent.Sub(x.sentAt), x.lastEvent.Sub(x.firstEvent)
		u.Events = max(0, x.events-x.priorEvents)
	}
	x.slot.Release(u)
	x.ledger.metrics.runs.WithLabelValues(outcome).Inc()
	id, version, request := "", "", ""
	if x.endpoint != nil {
		id, version = x.endpoint.ID, x.endpoint.Version
	}
	if x.item != nil {
		request = x.item.ID
	}
	_ = level.Info(x.ledger.opts.Logger).Log("event", "item_run", "job", jobs.ChosenID(x.ref.Job), "item", x.ref.Item, "request", request,
		"endpoint", id, "version", version, "outcome", outcome, "reason", reason, "resumed_at", x.priorEvents, "events", x.events, "open", x.open,
		"after_ms", time.Since(x.startTime).Milliseconds())
}
