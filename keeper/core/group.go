package core

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/peridotmount/peridotmount/ledger"
)

// pendingRecord is the record of the epoch that is about to be sent or in flight;
// there is at most one.
type pendingRecord struct {
	seq     int64
	data    []byte
	entries int
	ids     []uint64
	sent    bool
}

// appendState tracks the appends to the stream.
type appendState struct {
	limiter *rate.Limiter
	// inProgress reports that an append call has not returned yet.
	inProgress bool
	// endReadSince reports that the stream was read to its end after the last
	// append call returned.
	endReadSince bool
}

// Propose queues entries to be made durable atomically. If it returns nil, a
// Settlement of id follows. The ids 0 and snapshotProposalID are reserved for the
// Core's own proposals.
func (c *Core) Propose(now time.Time, id uint64, entries []ledger.Entry) error {
	if !c.Leads(now) {
		return ErrNotLeader
	}
	if c.queue.full() {
		return ErrBusy
	}
	c.queue.add(newProposal(id, entries))
	c.advance(now)
	return nil
}

// enqueue queues entries whose outcome nobody awaits.
func (c *Core) enqueue(entries ...ledger.Entry) {
	c.queue.add(newProposal(0, entries))
}

// buildRecord encodes proposals as the next record of the epoch. A record without
// proposals renews the lease or, while closing, releases it.
func (c *Core) buildRecord(now time.Time, list []proposal) {
	s := c.replay.State()
	r := &ledger.Record{
		Epoch:      c.ledEpoch,
		Seq:        s.Lease.Seq + 1,
		TimeMillis: now.UnixMilli(),
		Snapshot:   s.SnapshotOffset(),
		Release:    c.closing && len(list) == 0,
	}
	for i := range list {
		r.Entries = append(r.Entries, list[i].entries...)
	}
	data, err := r.Encode()
	if err != nil {
		c.settle(awaitedIDs(list), ErrNotEncodable)
		return
	}
	c.pending = &pendingRecord{seq: r.Seq, data: data, entries: len(r.Entries), ids: awaitedIDs(list)}
}

// sendNext appends the claim, or the pending record once the append budget
// allows. A record is retried only after the stream was read to its end without
// finding it: by then the previous append either had no effect or takes effect
// later. If both copies reach the stream, the second one is ignored because its
// sequence number is repeated.
func (c *Core) sendNext(now time.Time) {
	if c.appends.inProgress {
		return
	}
	if c.claim != nil {
		c.startAppend(c.claim, 0)
		c.claim = nil
		return
	}
	if !c.ownsLease() {
		return
	}
	if c.pending == nil && (c.queue.len() > 0 || c.closing) {
		c.buildNextRecord(now)
	}
	if c.pending == nil || (c.pending.sent && !c.appends.endReadSince) || !c.appends.limiter.AllowN(now, 1) {
		return
	}
	c.pending.sent = true
	c.elector.SentRecord(c.ledEpoch, c.pending.seq, now)
	c.startAppend(c.pending.data, c.pending.entries)
}

// buildNextRecord builds a record of the queued proposals once the append budget
// allows sending it; until then, further proposals can join it. A closing Core does
// not wait for the budget here.
func (c *Core) buildNextRecord(now time.Time) {
	if c.appends.limiter.TokensAt(now) < 1 && !c.closing {
		return
	}
	c.buildRecord(now, c.queue.takeProposals())
}

func (c *Core) startAppend(data []byte, entries int) {
	c.ready.Append = data
	c.ready.Entries = entries
	c.appends.inProgress = true
	c.appends.endReadSince = false
}

// AppendDone reports that the append in progress has returned. Its result is
// irrelevant: only records that are read back count.
func (c *Core) AppendDone(now time.Time) {
	c.appends.inProgress = false
	c.reads.dueAt = now
	c.advance(now)
}
