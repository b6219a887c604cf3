package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/keeper/core"
	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
	"github.com/peridotmount/peridotmount/ring"
	"github.com/peridotmount/peridotmount/timeline"
)

const (
	inputQueueLength = 1024
	// idleTicksPerTTL is the number of ticks per lease TTL of a core that does not
	// follow its stream.
	idleTicksPerTTL = 8
)

// Partition runs the core of one partition: it delivers inputs and ticks to the
// core and performs the I/O that the core requests. It is a suture service.
type Partition struct {
	opts    Options
	number  int
	stream  string
	logger  log.Logger
	inputs  *ring.Ring[input]
	worker  *worker
	records *recordCache
	ranking ranking
	metrics *metrics
	page    pageSize
	// readFailing is set while reads of the log stream fail, so that only the
	// first failure is logged.
	readFailing atomic.Bool

	mu      sync.Mutex
	core    *core.Core
	pending map[uint64]chan error
	lastID  uint64

	// recordedEpoch is the lease epoch that recordLeaseChange saw last;
	// followingSince is when the core was first seen to follow the stream after
	// the last lease change, or zero. Both are used by Serve's goroutine only.
	recordedEpoch  int64
	followingSince time.Time
}

func newPartition(opts Options, number int, m *metrics) *Partition {
	p := &Partition{
		opts:          opts,
		number:        number,
		stream:        StreamOf(number),
		logger:        log.With(opts.Logger, "duty", timeline.DutyKeeper, "partition", number),
		inputs:        ring.New[input](inputQueueLength),
		metrics:       m,
		core:          core.New(opts.coreOptions(), time.Now()),
		pending:       make(map[uint64]chan error),
		recordedEpoch: lease.NoEpoch,
	}
	p.records = newRecordCache(p.fetchRecord)
	p.worker = newWorker(p)
	return p
}

// Serve implements suture.Service. Calls to the log and items use a context of
// their own, which outlives ctx so that the lease can be released on shutdown.
func (p *Partition) Serve(ctx context.Context) error {
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for ctx.Err() == nil {
		p.step(ctx, callCtx)
	}
	p.releaseLease(callCtx)
	p.failPending()
	return ctx.Err()
}

// String returns the name of the service in the log of its supervisor.
func (p *Partition) String() string {
	return "keeper of " + p.stream
}

// step blocks until an input arrives or the tick interval elapses, delivers the
// input if there is one, and ticks the core.
func (p *Partition) step(ctx, callCtx context.Context) {
	timer := time.NewTimer(p.tickInterval())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		p.tick(callCtx)
	case in := <-p.inputs.C():
		p.deliver(callCtx, in)
		p.tick(callCtx)
	}
}

func (p *Partition) tickInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core.Following() {
		return p.opts.PollInterval
	}
	return p.opts.Lease.TTL / idleTicksPerTTL
}

func (p *Partition) tick(callCtx context.Context) {
	rank := p.ranking.position(p.opts.View(), p.stream, p.opts.Host)
	set := p.opts.Revision().Set
	weight := func(customer string) int {
		if c := set.Customers[customer]; c != nil {
			return c.Weight
		}
		return 1
	}
	p.mu.Lock()
	p.core.Tick(time.Now(), rank, weight)
	p.mu.Unlock()
	p.processReady(callCtx)
}

func (p *Partition) deliver(callCtx context.Context, in input) {
	p.mu.Lock()
	in.deliver(p.core, time.Now())
	p.mu.Unlock()
	p.processReady(callCtx)
}

// processReady performs the work that the core has ready. Calls to the log and
// items run in separate goroutines, so that a slow log never blocks the core.
func (p *Partition) processReady(callCtx context.Context) {
	p.mu.Lock()
	ready := p.core.Take()
	for _, s := range ready.Settled {
		p.completeProposal(s)
	}
	p.mu.Unlock()
	p.recordLeaseChange()
	for _, key := range ready.Stop {
		p.worker.stop(key)
	}
	for _, t := range ready.Start {
		p.worker.start(callCtx, t)
	}
	if ready.Append != nil {
		p.metrics.recordAppend(ready.Entries)
		go p.append(callCtx, ready.Append)
	}
	if ready.Read != nil {
		go p.read(callCtx, ready.Read)
	}
	if ready.Fetch != nil {
		go p.fetch(callCtx, *ready.Fetch)
	}
}

func (p *Partition) completeProposal(s core.Settlement) {
	if done := p.pending[s.ID]; done != nil {
		delete(p.pending, s.ID)
		done <- s.Err
	}
}

func (p *Partition) append(ctx context.Context, data []byte) {
	if _, err := p.opts.Log.Append(ctx, p.stream, [][]byte{data}); err != nil {
		// The append may have succeeded nevertheless: the core searches the stream
		// for the record, whatever the response was.
		_ = level.Warn(p.logger).Log("msg", "append to log stream failed; searching the stream for the record", "err", err)
	}
	_ = p.inputs.Put(ctx, appendDone{})
}

// Leads reports whether this host currently leads the partition.
func (p *Partition) Leads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Leads(time.Now())
}

// Holder returns the last known lease holder of the partition, or "".
func (p *Partition) Holder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Holder()
}

// reportNoLeader notifies the core that a caller found no leader of the
// partition. It does not block.
func (p *Partition) reportNoLeader() {
	// If the input queue is full, the notification is discarded: a partition with
	// so many inputs is active and detects a missing leader by itself.
	_ = p.inputs.Offer(leaderMissing{})
}

// stateIfLeader returns the partition's state, locked until unlock is called. If
// this host is not the leader it returns ErrNotLeader, as the state may be stale
// or discarded.
func (p *Partition) stateIfLeader() (state *ledger.State, unlock func(), err error) {
	p.mu.Lock()
	if !p.core.Leads(time.Now()) {
		p.mu.Unlock()
		return nil, nil, ErrNotLeader
	}
	return p.core.State(), p.mu.Unlock, nil
}
