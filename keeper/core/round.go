package core

import (
	"fmt"
	"math"
	"time"

	"github.com/peridotmount/peridotmount/ledger"
)

// snapshotWriter writes one snapshot. Before that, it carries forward, which means
// that it copies into new records, all content that is still referenced and lies
// before the end of the newest snapshot that is at least RewriteAfter old. No
// referenced content is therefore older than RewriteAfter plus two snapshot
// intervals.
type snapshotWriter struct {
	// carryBefore is the offset before which all referenced content is carried
	// forward.
	carryBefore int64
	// toCarry holds the offsets of the records whose content is still to be carried
	// forward.
	toCarry []int64
	// fetching is the offset of the record that is being read again.
	fetching *int64
	// carried holds the entries read again but not proposed yet; carriedBytes is
	// their size.
	carried      []ledger.Entry
	carriedBytes int
	// encoded is the encoded state before offset stateEnd; nil until all content
	// has been carried forward.
	encoded   []byte
	id        string
	stateEnd  int64
	nextChunk int
	// proposing reports that a proposal of this snapshot is not settled yet.
	proposing bool
	// retryAt is when a record that could not be read is requested again.
	retryAt time.Time
}

// snapshotProposalID is the id of a snapshotWriter's proposals.
const snapshotProposalID = math.MaxUint64

// advanceSnapshot starts a snapshot when one is due and performs its next step.
func (c *Core) advanceSnapshot(now time.Time) {
	if !c.Leads(now) || !c.reads.caughtUp {
		return
	}
	if c.snapshot == nil && !c.snapshotDue() {
		return
	}
	if c.snapshot == nil {
		c.snapshot = c.newSnapshotWriter()
	}
	w := c.snapshot
	if w.fetching != nil || w.proposing || now.Before(w.retryAt) {
		return
	}
	if len(w.carried) > 0 && (len(w.toCarry) == 0 || w.carriedBytes >= c.opts.RecordBytes/2) {
		c.proposeCarried(w)
		return
	}
	if len(w.toCarry) > 0 {
		w.fetching = &w.toCarry[0]
		w.toCarry = w.toCarry[1:]
		c.ready.Fetch = w.fetching
		return
	}
	c.proposeNextChunk(w)
}

func (c *Core) newSnapshotWriter() *snapshotWriter {
	s := c.replay.State()
	limit := s.SnapshotEndBefore(s.Now - c.opts.RewriteAfter.Milliseconds())
	return &snapshotWriter{carryBefore: limit, toCarry: s.LiveOffsetsBefore(limit)}
}

// snapshotDue reports whether the snapshot interval has passed; it is false until a
// record after the claim was read back. It compares record timestamps, because
// snapshots are dated by them.
func (c *Core) snapshotDue() bool {
	s := c.replay.State()
	if s.Lease.Seq == 0 {
		return false
	}
	last := s.SnapshotMillis()
	if last == 0 {
		// The first snapshot is due one interval after the first record.
		last = s.FirstMillis()
	}
	return s.Now-last >= c.opts.SnapshotInterval.Milliseconds()
}

// Fetched delivers the result of the Fetch in progress; record is nil if it
// failed. trimmed reports that the log no longer retains the record, so there is
// nothing left to carry.
func (c *Core) Fetched(now time.Time, offset int64, record *ledger.Record, trimmed bool) {
	w := c.snapshot
	if w != nil && w.fetching != nil && *w.fetching == offset {
		w.fetching = nil
		switch {
		case record != nil:
			w.add(c.replay.State().LiveEntries(offset, record))
		case !trimmed:
			w.toCarry = append([]int64{offset}, w.toCarry...)
			w.retryAt = now.Add(c.opts.PollInterval)
		}
	}
	c.advance(now)
}

func (w *snapshotWriter) add(entries []ledger.Entry) {
	for i := range entries {
		w.carried = append(w.carried, entries[i])
		w.carriedBytes += entries[i].Size()
	}
}

// proposeCarried proposes the entries read again so far, merging many small
// records into one.
func (c *Core) proposeCarried(w *snapshotWriter) {
	entries := w.carried
	w.carried = nil
	w.carriedBytes = 0
	c.proposeForSnapshot(entries)
}

func (c *Core) proposeForSnapshot(entries []ledger.Entry) {
	c.snapshot.proposing = true
	c.queue.add(newProposal(snapshotProposalID, entries))
}

// settleSnapshotProposal handles the outcome of the snapshot's proposal. A
// failure abandons the snapshot; advanceSnapshot starts a new one when it is due
// and this host leads.
func (c *Core) settleSnapshotProposal(err error) {
	switch {
	case c.snapshot == nil:
	case err != nil:
		c.snapshot = nil
	default:
		c.snapshot.proposing = false
	}
}

// proposeNextChunk proposes the next chunk of the encoded state, or ends the
// snapshot if the last chunk was proposed. The state is encoded when the first
// chunk is proposed, after all content has been carried forward.
func (c *Core) proposeNextChunk(w *snapshotWriter) {
	if w.encoded == nil {
		w.encoded = c.replay.State().Encode()
		w.stateEnd = c.replay.Next()
		w.id = fmt.Sprintf("%d.%d", c.ledEpoch, w.stateEnd)
	}
	if w.nextChunk*c.opts.SnapshotChunk >= len(w.encoded) {
		c.snapshot = nil
		return
	}
	end := min((w.nextChunk+1)*c.opts.SnapshotChunk, len(w.encoded))
	chunk := &ledger.SnapshotChunk{
		ID:         w.id,
		At:         w.stateEnd,
		TrimOffset: w.carryBefore,
		Index:      w.nextChunk,
		Last:       end == len(w.encoded),
		Data:       w.encoded[w.nextChunk*c.opts.SnapshotChunk : end],
	}
	w.nextChunk++
	c.proposeForSnapshot([]ledger.Entry{{Snapshot: chunk}})
}
