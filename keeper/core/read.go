package core

import (
	"time"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
)

// readState tracks the reads of the stream.
type readState struct {
	// current is the read in progress.
	current *Read
	// dueAt is the earliest time of the next read.
	dueAt time.Time
	// caughtUp reports that the last read reached the end of the stream.
	caughtUp bool
	// noAppendAtStart reports that no append was in progress when the current
	// read began.
	noAppendAtStart bool
}

// leaderReadsPerTTL is the number of reads that an idle leader makes per lease
// TTL.
const leaderReadsPerTTL = 10

// startRead requests the next read if it is due.
func (c *Core) startRead(now time.Time) {
	c.unfollowIfLed(now)
	if c.reads.current != nil || now.Before(c.reads.dueAt) {
		return
	}
	c.reads.noAppendAtStart = !c.appends.inProgress
	c.reads.current = c.nextRead()
	c.ready.Read = c.reads.current
}

func (c *Core) nextRead() *Read {
	w := &c.watch
	switch {
	case !w.following:
		return &Read{Kind: ReadEnd}
	case !w.hintRequested && w.endKnown && w.end > 0 && c.replay.Next() == 0:
		w.hintRequested = true
		return &Read{Kind: ReadHint, From: w.end - 1}
	default:
		return &Read{Kind: ReadTail, From: c.replay.Next()}
	}
}

// ReadDone delivers the result of the read in progress; page is nil if the read
// failed.
func (c *Core) ReadDone(now time.Time, page *Page) {
	read := c.reads.current
	c.reads.current = nil
	c.reads.dueAt = now.Add(c.readInterval(now, page != nil))
	if page != nil && read != nil {
		c.handlePage(now, read, page)
	}
	c.advance(now)
}

// readInterval returns the delay before the next read. A failed read is not
// retried faster than an idle leader reads.
func (c *Core) readInterval(now time.Time, succeeded bool) time.Duration {
	switch {
	case !c.watch.following:
		return c.watchInterval()
	case !succeeded:
		return max(c.opts.PollInterval, c.opts.Lease.TTL/leaderReadsPerTTL)
	case c.Leads(now) && c.reads.caughtUp && c.pending == nil:
		return c.opts.Lease.TTL / leaderReadsPerTTL
	default:
		return c.opts.PollInterval
	}
}

func (c *Core) handlePage(now time.Time, read *Read, page *Page) {
	switch read.Kind {
	case ReadEnd:
		c.observeEnd(now, page.End)
	case ReadHint:
		c.handleHint(page)
		c.reads.dueAt = now
	case ReadTail:
		if c.watch.following {
			c.handleTail(now, read, page)
		}
	}
}

func (c *Core) handleHint(page *Page) {
	if len(page.Records) == 0 || page.Records[0].Content == nil {
		return
	}
	if hint := page.Records[0].Content.Snapshot; hint > 0 && c.replay.Next() == 0 {
		c.replay.SeekSnapshot(hint, 0)
	}
}

func (c *Core) handleTail(now time.Time, read *Read, page *Page) {
	c.reads.caughtUp = false
	if read.From < page.Horizon {
		c.resetReplay(now)
		c.replay.SeekSnapshot(page.Horizon, page.Horizon)
		c.reads.dueAt = now
		return
	}
	for i := range page.Records {
		c.apply(now, &page.Records[i])
		if c.replay.Next() != page.Records[i].Offset+1 {
			// A snapshot was restored: continue at the offset where its state
			// ends.
			c.reads.dueAt = now
			return
		}
	}
	if page.Next < page.End {
		c.reads.dueAt = now
		return
	}
	c.reads.caughtUp = true
	if c.reads.noAppendAtStart && !c.appends.inProgress {
		c.appends.endReadSince = true
	}
}

// resetReplay discards the replayed state and any leadership. A leader that
// discards its state no longer knows which sequence numbers of its epoch are used
// and must not write under that epoch again, so it continues under a new
// incarnation.
func (c *Core) resetReplay(now time.Time) {
	if c.ledEpoch != lease.NoEpoch {
		c.abandonEpoch(ErrOutcomeUnknown)
		c.ledEpoch = lease.NoEpoch
		c.opts.Incarnation++
		c.elector = lease.NewElector(c.opts.Lease, c.opts.Host, c.opts.Incarnation, now)
	}
	c.replay = ledger.NewReplayer()
	c.reads.caughtUp = false
	c.claim = nil
}

// apply replays one record. The pending record is settled after each replayed
// record, because another host's claim may follow it in the same page.
func (c *Core) apply(now time.Time, r *Record) {
	seeking := c.replay.Seeking()
	verdict := c.replay.Apply(r.Offset, r.Content)
	existedBy := c.existedBy(now, r.Offset)
	s := c.replay.State()
	switch {
	case seeking && !c.replay.Seeking():
		c.elector.Restore(s.Lease, existedBy)
	case verdict == ledger.Valid:
		c.elector.Observe(s.Lease, existedBy)
	default:
		return
	}
	c.settlePending()
	c.updateLedEpoch(now)
	c.scheduler.reconcile(s, &c.ready)
}

// settlePending settles the proposals of the pending record once its sequence
// number was read back as valid. This is sufficient because only this incarnation
// writes under its epoch, one record at a time.
func (c *Core) settlePending() {
	s := c.replay.State()
	if c.pending == nil || s.Lease.Epoch != c.ledEpoch || s.Lease.Seq < c.pending.seq {
		return
	}
	c.settle(c.pending.ids, nil)
	c.pending = nil
}
