package core

import (
	"time"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
)

// followLease compares the lease in force with the epoch that is led.
func (c *Core) followLease(now time.Time) {
	epoch := lease.NoEpoch
	if c.mine() {
		epoch = c.replay.State().Lease.Epoch
	}
	if epoch == c.led {
		return
	}
	if c.led != lease.NoEpoch {
		c.lose(ErrNotLeader)
	}
	c.led = epoch
	if epoch != lease.NoEpoch {
		c.claim = nil
		c.watch.followUntil = now
	}
}

// lose gives up what belongs to an epoch that has passed; cause ends the group
// on its way. It is ErrNotLeader if the claim or release that ended the epoch
// was read: all records before it have been read too, and later ones are void.
func (c *Core) lose(cause error) {
	if c.group != nil {
		c.settle(c.group.ids, cause)
		c.group = nil
	}
	c.settle(c.queue.clear(), ErrNotLeader)
	c.stopItems()
	c.round = nil
}

func (c *Core) stopItems() {
	for _, key := range c.items.clear() {
		c.ready.stop(key)
	}
}

// refuseWaiting ends the proposals that wait while the lease has lapsed: they
// were never sent. Item results stay, as their records are fenced by the epoch.
func (c *Core) refuseWaiting(now time.Time) {
	if c.Leads(now) {
		return
	}
	c.settle(c.queue.dropWaiters(), ErrNotLeader)
}

func (c *Core) settle(ids []uint64, err error) {
	for _, id := range ids {
		if id == roundID {
			c.settleRound(err)
			continue
		}
		c.ready.Settled = append(c.ready.Settled, Settlement{ID: id, Err: err})
	}
}

// keepLease claims or renews the lease.
func (c *Core) keepLease(now time.Time) {
	if !c.watch.following || c.replay.Seeking() || !c.reads.caughtUp || c.appends.calling || c.closing {
		return
	}
	switch c.elector.Tick(now, c.rank) {
	case lease.MakeClaim:
		c.makeClaim(now)
	case lease.Renew:
		if c.group == nil && c.queue.len() == 0 {
			c.makeGroup(now, nil)
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

// Close makes the host give the lease up: no more is taken in, and a release
// follows the group on its way. It returns at once; Closed tells the end.
func (c *Core) Close(now time.Time) {
	c.closing = true
	c.stopItems()
	c.round = nil
	c.advance(now)
}

// Closed reports whether the lease is given up, or was never held.
func (c *Core) Closed() bool {
	return c.led == lease.NoEpoch
}
