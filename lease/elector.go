package lease

import "time"

// Elector decides when a host claims and renews one lease. It has no clock:
// every call carries the time by the host's own monotonic clock.
//
// Invariant: Holds ends a margin before TTL has passed since the send of the
// newest record of this host that was read back, and no claim is made before
// TTL has passed since the newest record of the holder was read. As a claim is
// void if it missed a record of the holder, two holders never act at once
// while the drift of their clocks over a TTL stays within the margin.
type Elector struct {
	opts        Options
	host        string
	incarnation int64
	state       State
	// heardAt is when the last sign of the holder was read.
	heardAt time.Time
	// sentAt is the first send of the newest record that was read back; zero
	// means that none was.
	sentAt time.Time
	// pending is the record on its way.
	pending sending
	// retryAt is when the next claim or renewal may be asked for.
	retryAt time.Time
}

// sending is the first send of one record, or of a claim that names it.
type sending struct {
	claim bool
	epoch int64
	seq   int64
	at    time.Time
}

func (s *sending) same(t *sending) bool {
	return s.claim == t.claim && s.epoch == t.epoch && s.seq == t.seq && !s.at.IsZero()
}

// NewElector returns an Elector of one run of host that starts at now.
func NewElector(opts Options, host string, incarnation int64, now time.Time) *Elector {
	return &Elector{opts: opts, host: host, incarnation: incarnation, state: NewState(), heardAt: now}
}

// Restore applies the state of the lease that a snapshot gave at now.
func (e *Elector) Restore(state State, now time.Time) {
	e.state = state
	e.heardAt = now
	e.sentAt = time.Time{}
}

// Observe applies the state of the lease after each valid record of its
// holder, read at now.
func (e *Elector) Observe(state State, now time.Time) {
	before := e.state
	e.state = state
	e.heardAt = now
	if !state.HeldBy(e.host, e.incarnation) {
		e.sentAt = time.Time{}
		return
	}
	read := sending{epoch: state.Epoch, seq: state.Seq}
	if state.Epoch != before.Epoch {
		e.sentAt = time.Time{}
		read = sending{claim: true, epoch: before.Epoch, seq: before.Seq}
	}
	if e.pending.same(&read) {
		e.sentAt = e.pending.at
	}
}

// SentClaim notes that a claim that names epoch and seq is sent at now.
func (e *Elector) SentClaim(epoch, seq int64, now time.Time) {
	e.note(sending{claim: true, epoch: epoch, seq: seq, at: now})
}

// SentRecord notes that the record seq of epoch is sent at now.
func (e *Elector) SentRecord(epoch, seq int64, now time.Time) {
	e.note(sending{epoch: epoch, seq: seq, at: now})
}

// note keeps the first send of a record that is sent again: either copy may be
// the one that is read back.
func (e *Elector) note(s sending) {
	if !e.pending.same(&s) {
		e.pending = s
	}
}

// Tick decides at now. rank is the host's place among the candidates, from 0,
// or NoCandidate.
func (e *Elector) Tick(now time.Time, rank int) Action {
	if now.Before(e.retryAt) {
		return None
	}
	if e.state.HeldBy(e.host, e.incarnation) {
		return e.renewal(now)
	}
	if rank < 0 || !e.vacant(now, rank) {
		return None
	}
	return e.act(MakeClaim, now)
}

func (e *Elector) renewal(now time.Time) Action {
	if now.Sub(e.sentAt) < e.opts.TTL/3 {
		return None
	}
	return e.act(Renew, now)
}

func (e *Elector) act(a Action, now time.Time) Action {
	e.retryAt = now.Add(e.opts.TTL / 6)
	return a
}

// vacant reports whether the lease may be claimed: nobody holds it, or the whole
// TTL has passed since the last sign of its holder was read. Candidates wait
// one after the other.
func (e *Elector) vacant(now time.Time, rank int) bool {
	wait := time.Duration(rank) * e.opts.stagger()
	if e.state.Epoch != NoEpoch && !e.state.Released {
		wait += e.opts.TTL
	}
	return now.Sub(e.heardAt) >= wait
}

// Holds reports whether this host may act on the lease at now.
func (e *Elector) Holds(now time.Time) bool {
	return now.Before(e.HoldsUntil())
}

// HoldsUntil returns when this host has to stop acting on the lease; it is the
// zero time if the host does not hold it.
func (e *Elector) HoldsUntil() time.Time {
	if e.sentAt.IsZero() || !e.state.HeldBy(e.host, e.incarnation) {
		return time.Time{}
	}
	return e.sentAt.Add(e.opts.TTL - e.opts.Margin)
}

// Heard returns when the last sign of the holder was read.
func (e *Elector) Heard() time.Time {
	return e.heardAt
}

// Epoch returns the fencing number in force.
func (e *Elector) Epoch() int64 {
	return e.state.Epoch
}

// Holder returns the host that holds the lease, or "".
func (e *Elector) Holder() string {
	if e.state.Released {
		return ""
	}
	return e.state.Holder
}
