package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/scheduler"
)

// startValidity is how late an item may be sent to an endpoint with a rate limit, from its
// start by the scheduler, which counted it against the limit then.
const startValidity = 250 * time.Millisecond

// Runner runs the batch items that the scheduler starts on this host.
type Runner struct {
	ledger *Ledger
	// recordContext bounds the writes of results to the lifetime of the process.
	recordContext context.Context
	// leaving means that the host is shutting down, and that the progress of unfinished
	// items is written to the ledger.
	leaving atomic.Bool

	mu sync.Mutex
	// running is the number of runs in progress. idle is closed when it drops to 0; it is
	// nil if no goroutine waits for that.
	running int
	idle    chan struct{}
}

// NewRunner returns a Runner. Writes of results are abandoned when ctx ends.
func NewRunner(ctx context.Context, l *Ledger) *Runner {
	return &Runner{ledger: l, recordContext: ctx}
}

// Leave makes items that end unfinished write their progress to the ledger, so that
// other hosts can resume them.
func (r *Runner) Leave() {
	r.leaving.Store(true)
}

// Slot is the endpoint slot in which an item runs.
type Slot interface {
	// ReportStalled reports that the endpoint has stopped sending events.
	ReportStalled()
	// Release ends the use of the slot.
	Release(u scheduler.Usage)
}

// Wait waits until no item is running and every result is recorded, or ctx ends.
func (r *Runner) Wait(ctx context.Context) {
	r.mu.Lock()
	if r.running == 0 {
		r.mu.Unlock()
		return
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

func (r *Runner) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
}

func (r *Runner) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running--; r.running == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// Run implements slots.Runner.
func (r *Runner) Run(ctx context.Context, s *scheduler.Start, slot Slot) {
	r.begin()
	defer r.finish()
	x := &itemRun{Runner: r, ref: s.Item, slot: slot, startTime: time.Now()}
	x.endpoint = r.ledger.opts.Endpoint(s.Endpoint)
	if x.endpoint == nil {
		x.endRun("unread", "this host has not read the record of "+s.Endpoint, scheduler.Usage{Outcome: scheduler.Unread})
		return
	}
	if reason, use := x.prepare(ctx); reason != "" {
		x.endRun("misplaced", reason, use)
		return
	}
	// The endpoint is looked up again, and then the item: the one may have left and the other ended while
	// the input was read, which can take seconds, or while this host stood still.
	prepared := x.endpoint
	x.endpoint = r.ledger.opts.Endpoint(s.Endpoint)
	switch {
	case x.endpoint == nil || x.endpoint.State != endpoint.Ready:
		x.endRun("leaving", "endpoint is leaving", scheduler.Usage{Outcome: scheduler.Leaving})
		return
	case prepared.Version != x.endpoint.Version:
		x.endRun("unread", s.Endpoint+" was started again with another version", scheduler.Usage{Outcome: scheduler.Unread})
		return
	case s.Version != "" && s.Version != x.endpoint.Version:
		// Older schedulers don't say it.
		x.endRun("unread", "the scheduler has read version "+s.Version+" of "+s.Endpoint, scheduler.Usage{Outcome: scheduler.Unread})
		return
	}
	r.ledger.catchUp(ctx)
	if _, reason := x.findItem(); reason != "" {
		x.endRun("misplaced", reason, misplacedUse(reason))
		return
	}
	if waited := time.Since(x.startTime); waited > startValidity && r.ledger.opts.HasRateLimit(x.endpoint) {
		// Starts that were delayed together would exceed the limit together.
		x.endRun("delayed", "the start was delayed by "+waited.Round(time.Millisecond).String()+", and the endpoint has a rate limit",
			scheduler.Usage{Outcome: scheduler.Abandoned})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.send(ctx, cancel)
}
