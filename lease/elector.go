package lease

import "time"

// Elector decides when a host claims and renews one lease. It reads no clock:
// every call passes the time of the host's own monotonic clock.
//
// Invariant: Holds ends Margin before TTL has passed since the first send of this
// host's newest record that was read back, and no claim is made before TTL has
// passed since the holder's newest record was known to be in the stream. A claim
// whose author had not read the holder's newest record is ignored. Two holders
// therefore never act at the same time while the drift between their clocks over
// one TTL stays within Margin.
type Elector struct {
	opts        Options
	host        string
	incarnation int64
	state       State
	// holderSeenAt is the time by which the holder's newest record, or the restored
	// state, was known to be in the stream; initially, the start time of the
	// Elector.
	holderSeenAt time.Time
	// confirmedSentAt is when the newest record that was read back was first
	// sent; zero if none was.
	confirmedSentAt time.Time
	// pending is the record in flight.
	pending sentRecord
	// retryAt is the earliest time at which the next claim or renewal may be
	// requested.
	retryAt time.Time
}

// sentRecord identifies a record that was sent; at is the time of its first send.
// A claim has no epoch before it is read back: its epoch and seq are those of the
// record that it names as the last valid one. The zero value stands for no record.
type sentRecord struct {
	claim bool
	epoch int64
	seq   int64
	at    time.Time
}

// matches reports whether s was sent and identifies the same record as t.
func (s *sentRecord) matches(t *sentRecord) bool {
	return s.claim == t.claim && s.epoch == t.epoch && s.seq == t.seq && !s.at.IsZero()
}

// NewElector returns an Elector for one incarnation of host that starts at now.
func NewElector(opts Options, host string, incarnation int64, now time.Time) *Elector {
	return &Elector{opts: opts, host: host, incarnation: incarnation, state: NewState(), holderSeenAt: now}
}

// Restore sets the lease state that was read from a snapshot. existedBy is a time
// by which the snapshot was in the stream.
func (e *Elector) Restore(state State, existedBy time.Time) {
	e.state = state
	e.holderSeenAt = existedBy
	e.confirmedSentAt = time.Time{}
}

// Observe updates the lease state after each valid record of the holder. existedBy
// is a time by which the record was in the stream: when it was read, or earlier if
// the stream's end had been seen beyond it.
func (e *Elector) Observe(state State, existedBy time.Time) {
	previous := e.state
	e.state = state
	e.holderSeenAt = existedBy
	if !state.HeldBy(e.host, e.incarnation) {
		e.confirmedSentAt = time.Time{}
		return
	}
	readBack := sentRecord{epoch: state.Epoch, seq: state.Seq}
	if state.Epoch != previous.Epoch {
		e.confirmedSentAt = time.Time{}
		readBack = sentRecord{claim: true, epoch: previous.Epoch, seq: previous.Seq}
	}
	if e.pending.matches(&readBack) {
		e.confirmedSentAt = e.pending.at
	}
}

// SentClaim records that a claim is sent at now that names record seq of epoch as
// the last valid one.
func (e *Elector) SentClaim(epoch, seq int64, now time.Time) {
	e.recordSend(sentRecord{claim: true, epoch: epoch, seq: seq, at: now})
}

// SentRecord records that the record seq of epoch is sent at now.
func (e *Elector) SentRecord(epoch, seq int64, now time.Time) {
	e.recordSend(sentRecord{epoch: epoch, seq: seq, at: now})
}

// recordSend keeps the time of the first send when a record is retried, because
// either copy may be the one that is read back.
func (e *Elector) recordSend(s sentRecord) {
	if !e.pending.matches(&s) {
		e.pending = s
	}
}

// Tick returns the action due at now. rank is the host's position among the
// candidates, from 0, or NoCandidate.
func (e *Elector) Tick(now time.Time, rank int) Action {
	if now.Before(e.retryAt) {
		return None
	}
	if e.state.HeldBy(e.host, e.incarnation) {
		return e.renewIfDue(now)
	}
	if rank < 0 || !e.claimable(now, rank) {
		return None
	}
	return e.startAction(MakeClaim, now)
}

// renewIfDue requests a renewal once a third of the TTL has passed since the first
// send of the newest record that was read back.
func (e *Elector) renewIfDue(now time.Time) Action {
	if now.Sub(e.confirmedSentAt) < e.opts.TTL/3 {
		return None
	}
	return e.startAction(Renew, now)
}

// startAction returns a, and lets Tick return None for the next sixth of the TTL.
func (e *Elector) startAction(a Action, now time.Time) Action {
	e.retryAt = now.Add(e.opts.TTL / 6)
	return a
}

// claimable reports whether the candidate of that rank may claim the lease. It
// waits for a whole TTL after holderSeenAt unless the lease was never claimed or
// was released, and in both cases for one stagger more for each candidate ranked
// before it.
func (e *Elector) claimable(now time.Time, rank int) bool {
	wait := time.Duration(rank) * e.opts.stagger()
	if e.state.Epoch != NoEpoch && !e.state.Released {
		wait += e.opts.TTL
	}
	return now.Sub(e.holderSeenAt) >= wait
}

// Holds reports whether this host may act on the lease at now.
func (e *Elector) Holds(now time.Time) bool {
	return now.Before(e.HoldsUntil())
}

// HoldsUntil returns when this host must stop acting on the lease. It is the zero
// time if the host does not hold it.
func (e *Elector) HoldsUntil() time.Time {
	if e.confirmedSentAt.IsZero() || !e.state.HeldBy(e.host, e.incarnation) {
		return time.Time{}
	}
	return e.confirmedSentAt.Add(e.opts.TTL - e.opts.Margin)
}

// HolderSeenAt returns the time by which the holder's newest record was known to
// be in the stream.
func (e *Elector) HolderSeenAt() time.Time {
	return e.holderSeenAt
}

// Epoch returns the epoch of the last valid claim, or NoEpoch.
func (e *Elector) Epoch() int64 {
	return e.state.Epoch
}

// Holder returns the host that made the last valid claim, or "" if there is none or
// the lease was released. It does not check whether the lease has expired.
func (e *Elector) Holder() string {
	if e.state.Released {
		return ""
	}
	return e.state.Holder
}
