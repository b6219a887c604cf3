package keeper

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/keeper/core"
	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/timeline"
)

// releaseTimeout is the timeout for the release of the lease on shutdown.
const releaseTimeout = 2 * time.Second

// recordLeaseChange records acquisition and loss of the lease in the timeline, the
// log and the metrics. If the epoch is unchanged, it only updates the metric of
// open items.
func (p *Partition) recordLeaseChange() {
	p.mu.Lock()
	epoch, following := p.core.Epoch(), p.core.Following()
	open := p.core.State().OpenItems()
	p.mu.Unlock()
	if following && p.followingSince.IsZero() {
		p.followingSince = time.Now()
	}
	if epoch == p.recordedEpoch {
		p.metrics.setOpenItems(p.number, epoch != lease.NoEpoch, open)
		return
	}
	kind := timeline.KindLeaseLost
	if epoch != lease.NoEpoch {
		kind = timeline.KindLeaseWon
		p.metrics.recordTakeover(time.Since(p.followingSince))
	}
	p.recordedEpoch = epoch
	p.followingSince = time.Time{}
	p.metrics.setLeaseHeld(p.number, epoch != lease.NoEpoch)
	p.opts.Events.Record(timeline.Event{Duty: timeline.DutyKeeper, Kind: kind, Cause: p.stream})
	_ = level.Info(p.logger).Log("msg", kind, "epoch", epoch)
}

// releaseLease releases the lease on shutdown. It gives up after releaseTimeout.
func (p *Partition) releaseLease(callCtx context.Context) {
	ctx, cancel := context.WithTimeout(callCtx, releaseTimeout)
	defer cancel()
	p.mu.Lock()
	p.core.Close(time.Now())
	closed := p.core.Closed()
	p.mu.Unlock()
	p.processReady(callCtx)
	for !closed && ctx.Err() == nil {
		p.step(ctx, callCtx)
		p.mu.Lock()
		closed = p.core.Closed()
		p.mu.Unlock()
	}
}

// failPending completes the proposals whose outcome is unknown at shutdown with
// core.ErrOutcomeUnknown.
func (p *Partition) failPending() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, done := range p.pending {
		delete(p.pending, id)
		done <- core.ErrOutcomeUnknown
	}
}
