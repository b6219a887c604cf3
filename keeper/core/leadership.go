package core

import (
	"time"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
)

// updateLedEpoch sets ledEpoch from the replayed lease and abandons the previous
// epoch if it has ended.
func (c *Core) updateLedEpoch(now time.Time) {
	epoch := lease.NoEpoch
	if c.ownsLease() {
		epoch = c.replay.State().Lease.Epoch
	}
	if epoch == c.ledEpoch {
		return
	}
	if c.ledEpoch != lease.NoEpoch {
		c.abandonEpoch(ErrNotLeader)
	}
	c.ledEpoch = epoch
	if epoch != lease.NoEpoch {
		c.claim = nil
		c.watch.followUntil = now
	}
}

// abandonEpoch discards the state of an epoch that has ended and settles the
// pending record with cause. The cause is ErrNotLeader if the claim or release
// that ended the epoch was read: all records before it have then been read too,
// and later ones of that epoch are ignored.
func (c *Core) abandonEpoch(cause error) {
	if c.pending != nil {
		c.settle(c.pending.ids, cause)
		c.pending = nil
	}
	c.settle(c.queue.clear(), ErrNotLeader)
	c.stopItems()
	c.snapshot = nil
}

func (c *Core) stopItems() {
	for _, key := range c.scheduler.clear() {
		c.ready.stop(key)
	}
}

// rejectQueued rejects the awaited proposals in the queue if the host does not
// lead, for example after its lease expired: they were never sent. Item results
// stay queued, as their records are fenced by the epoch.
func (c *Core) rejectQueued(now time.Time) {
	if c.Leads(now) {
		return
	}
	c.settle(c.queue.dropAwaited(), ErrNotLeader)
}

func (c *Core) settle(ids []uint64, err error) {
	for _, id := range ids {
		if id == snapshotProposalID {
			c.settleSnapshotProposal(err)
			continue
		}
		c.ready.Settled = append(c.ready.Settled, Settlement{ID: id, Err: err})
	}
}

// maintainLease claims or renews the lease when that is due.
func (c *Core) maintainLease(now time.Time) {
	if !c.watch.following || c.replay.Seeking() || !c.reads.caughtUp || c.appends.inProgress || c.closing {
		return
	}
	switch c.elector.Tick(now, c.rank) {
	case lease.MakeClaim:
		c.makeClaim(now)
	case lease.Renew:
		if c.pending == nil && c.queue.len() == 0 {
			c.buildRecord(now, nil)
		}
	case lease.None:
	}
}

func (c *Core) makeClaim(now time.Time) {
	s := c.replay.State()
	r := &ledger.Record{
		TimeMillis: now.UnixMilli(),
		Snapshot:   s.SnapshotOffset(),
		Claim: &lease.Claim{
			Holder:      c.opts.Host,
			Incarnation: c.opts.Incarnation,
			Previous:    s.Lease.Epoch,
			PreviousSeq: s.Lease.Seq,
		},
	}
	data, err := r.Encode()
	if err != nil {
		return
	}
	c.claim = data
	c.elector.SentClaim(s.Lease.Epoch, s.Lease.Seq, now)
}

// Close starts to release the lease: no more proposals are accepted, and the
// release is written after the pending record and the queue. It returns at once;
// Closed reports completion.
func (c *Core) Close(now time.Time) {
	c.closing = true
	c.stopItems()
	c.snapshot = nil
	c.advance(now)
}

// Closed reports whether the lease was released or never held.
func (c *Core) Closed() bool {
	return c.ledEpoch == lease.NoEpoch
}
