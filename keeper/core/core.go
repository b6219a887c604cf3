package core

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
)

// Core leads one partition, or waits to. It is not safe for concurrent use.
//
// Invariants: at most one record of the epoch is on its way, and it is sent
// again byte for byte until its sequence number is read back or the epoch ends;
// nothing is settled by the answer of an append.
type Core struct {
	opts    Options
	replay  *ledger.Replayer
	elector *lease.Elector
	rank    int
	weight  func(customer string) int

	watch watch
	reads readState
	// led is the epoch that this host leads, or lease.NoEpoch.
	led     int64
	queue   queue
	group   *group
	claim   []byte
	appends appendState
	items   *scheduler
	round   *round
	closing bool
	ready   Ready
}

// New returns a Core that starts at now without knowledge of the stream.
func New(opts Options, now time.Time) *Core {
	return &Core{
		opts:    opts,
		replay:  ledger.NewReplayer(),
		elector: lease.NewElector(opts.Lease, opts.Host, opts.Incarnation, now),
		rank:    lease.NoCandidate,
		weight:  func(string) int { return 1 },
		watch:   watch{endAt: now},
		led:     lease.NoEpoch,
		queue:   queue{opts: opts},
		appends: appendState{pace: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), opts.AppendBurst)},
		items:   newScheduler(opts.Concurrency),
	}
}

// Tick moves the time on. rank is the host's place among the candidates, from
// 0, or lease.NoCandidate; weight gives a customer's share.
func (c *Core) Tick(now time.Time, rank int, weight func(customer string) int) {
	c.rank = rank
	c.weight = weight
	c.advance(now)
}

// Take returns what is asked of the driver since the last call.
func (c *Core) Take() Ready {
	out := c.ready
	c.ready = Ready{}
	return out
}

// State returns the replayed state. It is that of the partition only while the
// host leads.
func (c *Core) State() *ledger.State {
	return c.replay.State()
}

// Leads reports whether this host leads the partition at now.
func (c *Core) Leads(now time.Time) bool {
	return c.led != lease.NoEpoch && !c.closing && c.elector.Holds(now)
}

// LeadsUntil returns when the host stops leading unless its lease is renewed,
// or the zero time.
func (c *Core) LeadsUntil() time.Time {
	if c.led == lease.NoEpoch || c.closing {
		return time.Time{}
	}
	return c.elector.HoldsUntil()
}

// Epoch returns the epoch that this host leads, or lease.NoEpoch.
func (c *Core) Epoch() int64 {
	return c.led
}

// Holder returns the host that is known to hold the lease, or "".
func (c *Core) Holder() string {
	return c.elector.Holder()
}

// mine reports whether the lease in force is this run's.
func (c *Core) mine() bool {
	s := c.replay.State()
	return !c.replay.Seeking() && s.Lease.HeldBy(c.opts.Host, c.opts.Incarnation)
}

// advance takes every step that is due.
func (c *Core) advance(now time.Time) {
	c.followLease(now)
	c.refuseWaiting(now)
	c.keepLease(now)
	c.keepRound(now)
	c.schedule(now)
	c.send(now)
	c.read(now)
}
