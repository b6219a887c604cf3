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
	next        int64
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
func (h *leaseTracker) skipTrimmed(horizon int64) {
	h.next = horizon
	h.trimmed = true
}

// apply replays a record that was read at now.
func (h *leaseTracker) apply(r *platform.Record, now time.Time) {
	h.next = r.Offset + 1
	var record Record
	if json.Unmarshal(r.Data, &record) != nil {
		return
	}
	valid := false
	switch {
	case record.Claim != nil:
		valid = h.state.Claim(r.Offset, *record.Claim)
	case record.Renew != nil:
		valid = h.applyRenewal(record.Renew)
	case record.Release != nil:
		valid = h.state.Release(record.Release.Epoch)
	}
	if valid {
		h.elector.Observe(h.state, now)
	}
}

func (h *leaseTracker) applyRenewal(r *Renewal) bool {
	if h.trimmed && r.Epoch > h.state.Epoch {
		h.state = lease.State{Epoch: r.Epoch, Seq: r.Seq, Holder: r.Holder, Incarnation: r.Incarnation}
		return true
	}
	return h.state.InForce(r.Epoch) && h.state.Accept(r.Seq)
}

// decide returns the record to append at now, or nil. The TTL of the lease counts
// from now, which is before the record is sent.
func (h *leaseTracker) decide(now time.Time, rank int) *Record {
	switch h.elector.Tick(now, rank) {
	case lease.MakeClaim:
		h.elector.SentClaim(h.state.Epoch, h.state.Seq, now)
		return &Record{Claim: &lease.Claim{
			Holder:      h.host,
			Incarnation: h.incarnation,
			Previous:    h.state.Epoch,
			PreviousSeq: h.state.Seq,
		}}
	case lease.Renew:
		seq := h.state.Seq + 1
		h.elector.SentRecord(h.state.Epoch, seq, now)
		return &Record{Renew: &Renewal{Epoch: h.state.Epoch, Seq: seq, Holder: h.host, Incarnation: h.incarnation}}
	default:
		return nil
	}
}

// holdsLease reports whether this host may send orders at now.
func (h *leaseTracker) holdsLease(now time.Time) bool {
	return h.elector.Holds(now)
}
