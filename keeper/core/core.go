package core

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
)

// Core leads one partition or stands by to take over its leadership. It is not
// safe for concurrent use.
//
// Invariants: at most one record of the epoch is in flight, and it is retried
// byte for byte until its sequence number is read back or the epoch ends. A
// proposal succeeds only when its record is read back; the response to an append
// has no influence on it.
type Core struct {
	opts    Options
	replay  *ledger.Replayer
	elector *lease.Elector
	rank    int
	weight  func(customer string) int

	watch watch
	reads readState
	// ledEpoch is the epoch that this host leads, or lease.NoEpoch.
	ledEpoch int64
	queue    queue
	pending  *pendingRecord
	// claim is an encoded claim that was not sent yet, or nil.
	claim     []byte
	appends   appendState
	scheduler *scheduler
	snapshot  *snapshotWriter
	closing   bool
	ready     Ready
}

// New returns a Core that starts at now and has read nothing of the stream yet.
func New(opts Options, now time.Time) *Core {
	return &Core{
		opts:      opts,
		replay:    ledger.NewReplayer(),
		elector:   lease.NewElector(opts.Lease, opts.Host, opts.Incarnation, now),
		rank:      lease.NoCandidate,
		weight:    func(string) int { return 1 },
		watch:     watch{endChangedAt: now},
		ledEpoch:  lease.NoEpoch,
		queue:     queue{opts: opts},
		appends:   appendState{limiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), opts.AppendBurst)},
		scheduler: newScheduler(opts.Concurrency),
	}
}

// Tick advances the time to now and performs the steps that are due. rank is the
// host's position among the candidates, from 0, or lease.NoCandidate; weight
// returns a customer's scheduling weight.
func (c *Core) Tick(now time.Time, rank int, weight func(customer string) int) {
	c.rank = rank
	c.weight = weight
	c.advance(now)
}

// Take returns the requests to the driver and the settlements that accumulated
// since the previous call.
func (c *Core) Take() Ready {
	out := c.ready
	c.ready = Ready{}
	return out
}

// State returns the state replayed so far. It is the current state of the
// partition only while the host leads.
func (c *Core) State() *ledger.State {
	return c.replay.State()
}

// Leads reports whether this host leads the partition at now.
func (c *Core) Leads(now time.Time) bool {
	return c.ledEpoch != lease.NoEpoch && !c.closing && c.elector.Holds(now)
}

// LeadsUntil returns when leadership ends unless the lease is renewed. It is the
// zero time if the host does not lead.
func (c *Core) LeadsUntil() time.Time {
	if c.ledEpoch == lease.NoEpoch || c.closing {
		return time.Time{}
	}
	return c.elector.HoldsUntil()
}

// Epoch returns the epoch that this host leads, or lease.NoEpoch.
func (c *Core) Epoch() int64 {
	return c.ledEpoch
}

// Holder returns the last known lease holder, or "" if there is none.
func (c *Core) Holder() string {
	return c.elector.Holder()
}

// ownsLease reports whether the lease in force was claimed by this incarnation of
// the host. It does not check whether the lease has expired.
func (c *Core) ownsLease() bool {
	s := c.replay.State()
	return !c.replay.Seeking() && s.Lease.HeldBy(c.opts.Host, c.opts.Incarnation)
}

// advance performs all steps that are due at now.
func (c *Core) advance(now time.Time) {
	c.updateLedEpoch(now)
	c.rejectQueued(now)
	c.maintainLease(now)
	c.advanceSnapshot(now)
	c.schedule(now)
	c.sendNext(now)
	c.startRead(now)
}
