package orders

import (
	"encoding/json"
	"time"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/platform"
)

// leaseTracker replays the lease stream and decides which record to append to it. It
// does no I/O.
type leaseTracker struct {
	host        string
	incarnation int64
	state       lease.State
	elector     *lease.Elector
	// next is the offset of the next record to read.
	next int64
	// trimmed reports that the claim in force may be among the trimmed records.
	trimmed bool
}

func newLeaseTracker(opts lease.Options, host string, incarnation int64, now time.Time) *leaseTracker {
	return &leaseTracker{
		host:        host,
		incarnation: incarnation,
		state:       lease.NewState(),
		elector:     lease.NewElector(opts, host, incarnation, now),
	}
}

// skipTrimmed continues at horizon, because the records before it were trimmed.
func (t *leaseTracker) skipTrimmed(horizon int64) {
	t.next = horizon
	t.trimmed = true
}

// apply replays a record that was read at now.
func (t *leaseTracker) apply(r *platform.Record, now time.Time) {
	t.next = r.Offset + 1
	var record Record
	if json.Unmarshal(r.Data, &record) != nil {
		return
	}
	valid := false
	switch {
	case record.Claim != nil:
		valid = t.state.Claim(r.Offset, *record.Claim)
	case record.Renew != nil:
		valid = t.applyRenewal(record.Renew)
	case record.Release != nil:
		valid = t.state.Release(record.Release.Epoch)
	}
	if valid {
		t.elector.Observe(t.state, now)
	}
}

// applyRenewal applies a renewal and reports whether it took effect. If the claim may
// be among the trimmed records, a renewal of a newer epoch stands for its claim.
func (t *leaseTracker) applyRenewal(r *Renewal) bool {
	if t.trimmed && r.Epoch > t.state.Epoch {
		t.state = lease.State{Epoch: r.Epoch, Seq: r.Seq, Holder: r.Holder, Incarnation: r.Incarnation}
		return true
	}
	return t.state.InForce(r.Epoch) && t.state.Accept(r.Seq)
}

// decide returns the record to append at now, or nil. The TTL of the lease counts
// from now, which is before the record is sent.
func (t *leaseTracker) decide(now time.Time, rank int) *Record {
	switch t.elector.Tick(now, rank) {
	case lease.MakeClaim:
		t.elector.SentClaim(t.state.Epoch, t.state.Seq, now)
		return &Record{Claim: &lease.Claim{
			Holder:      t.host,
			Incarnation: t.incarnation,
			Previous:    t.state.Epoch,
			PreviousSeq: t.state.Seq,
		}}
	case lease.Renew:
		seq := t.state.Seq + 1
		t.elector.SentRecord(t.state.Epoch, seq, now)
		return &Record{Renew: &Renewal{Epoch: t.state.Epoch, Seq: seq, Holder: t.host, Incarnation: t.incarnation}}
	default:
		return nil
	}
}

// holdsLease reports whether this host may send orders at now.
func (t *leaseTracker) holdsLease(now time.Time) bool {
	return t.elector.Holds(now)
}
