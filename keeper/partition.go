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
	inputRing = 1024
	// idleTicksPerTTL is how often a core that follows no stream is ticked.
	idleTicksPerTTL = 8
)

// Partition drives the core of one partition. It is a suture service.
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
	// unread tells that the last read of the stream failed.
	unread atomic.Bool

	mu      sync.Mutex
	core    *core.Core
	waiting map[uint64]chan error
	lastID  uint64

	// led and followed belong to Serve's goroutine.
	led      int64
	followed time.Time
}

func newPartition(opts Options, number int, m *metrics) *Partition {
	p := &Partition{
		opts:    opts,
		number:  number,
		stream:  StreamOf(number),
		logger:  log.With(opts.Logger, "duty", timeline.DutyKeeper, "partition", number),
		inputs:  ring.New[input](inputRing),
		metrics: m,
		core:    core.New(opts.coreOptions(), time.Now()),
		waiting: make(map[uint64]chan error),
		led:     lease.NoEpoch,
	}
	p.records = newRecordCache(p.fetchRecord)
	p.worker = newWorker(p)
	return p
}

// Serve implements suture.Service.
func (p *Partition) Serve(ctx context.Context) error {
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for ctx.Err() == nil {
		p.wait(ctx, calls)
	}
	p.resign(calls)
	p.endWaiting()
	return ctx.Err()
}

// String names the service to its supervisor.
func (p *Partition) String() string {
	return "keeper of " + p.stream
}

// wait delivers the next input, or ticks the core.
func (p *Partition) wait(ctx, calls context.Context) {
	timer := time.NewTimer(p.tickEvery())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		p.tick(calls)
	case in := <-p.inputs.C():
		p.deliver(calls, in)
		p.tick(calls)
	}
}

func (p *Partition) tickEvery() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core.Following() {
		return p.opts.Poll
	}
	return p.opts.Lease.TTL / idleTicksPerTTL
}

func (p *Partition) tick(calls context.Context) {
	rank := p.ranking.of(p.opts.View(), p.stream, p.opts.Host)
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
	p.carryOut(calls)
}

func (p *Partition) deliver(calls context.Context, in input) {
	p.mu.Lock()
	in.deliver(p.core, time.Now())
	p.mu.Unlock()
	p.carryOut(calls)
}

// carryOut does what the core asks for. Calls to the log and items run in
// goroutines of their own, so that a slow log never holds the core up.
func (p *Partition) carryOut(calls context.Context) {
	p.mu.Lock()
	ready := p.core.Take()
	for _, s := range ready.Settled {
		p.settle(s)
	}
	p.mu.Unlock()
	p.noteLead()
	for _, key := range ready.Stop {
		p.worker.stop(key)
	}
	for _, t := range ready.Start {
		p.worker.start(calls, t)
	}
	if ready.Append != nil {
		p.metrics.appended(ready.Entries)
		go p.append(calls, ready.Append)
	}
	if ready.Read != nil {
		go p.read(calls, ready.Read)
	}
	if ready.Fetch != nil {
		go p.fetch(calls, *ready.Fetch)
	}
}

func (p *Partition) settle(s core.Settlement) {
	if done := p.waiting[s.ID]; done != nil {
		delete(p.waiting, s.ID)
		done <- s.Err
	}
}

func (p *Partition) append(ctx context.Context, data []byte) {
	if _, err := p.opts.Log.Append(ctx, p.stream, [][]byte{data}); err != nil {
		// The record is looked for in the stream, whatever the answer was.
		_ = level.Warn(p.logger).Log("msg", "append without answer", "err", err)
	}
	_ = p.inputs.Put(ctx, appendDone{})
}

// Leads reports whether this host leads the partition now.
func (p *Partition) Leads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Leads(time.Now())
}

// Holder returns the host that is known to lead the partition, or "".
func (p *Partition) Holder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Holder()
}

// nudge tells that the partition seems to have no leader.
func (p *Partition) nudge() {
	// A full ring means that the partition is busy enough to notice by itself.
	_ = p.inputs.Offer(nudged{})
}

// ledState returns the partition's state, locked until done is called. Without
// the lead it is ErrNotLeader: the state may be old or dropped.
func (p *Partition) ledState() (state *ledger.State, done func(), err error) {
	p.mu.Lock()
	if !p.core.Leads(time.Now()) {
		p.mu.Unlock()
		return nil, nil, ErrNotLeader
	}
	return p.core.State(), p.mu.Unlock, nil
}
