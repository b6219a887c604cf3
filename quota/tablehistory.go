package quota

import (
	"math"
	"time"
)

// Tell records what a host reports, and replaces what it reported before. What the Table has
// admitted itself is left out.
func (t *Table) Tell(now time.Time, host string, reports []Report) {
	t.Start(now)
	told := &hostReport{at: now, byScheduler: make(map[string]map[string]*history)}
	for i := range reports {
		r := &reports[i]
		if r.Scheduler == t.opts.Self || r.Width <= 0 {
			continue
		}
		byWorkspace := told.byScheduler[r.Scheduler]
		if byWorkspace == nil {
			byWorkspace = make(map[string]*history)
			told.byScheduler[r.Scheduler] = byWorkspace
		}
		r.addTo(byWorkspace, t.bin(now), t.opts.binWidth())
	}
	if len(told.byScheduler) == 0 && t.told[host] == nil {
		return
	}
	t.told[host] = told
	t.changes++
}

// Replicate records what another scheduler tells that it admitted since it last told, or in the
// whole window.
func (t *Table) Replicate(now time.Time, r *Report) {
	t.Start(now)
	if r.Scheduler == t.opts.Self || r.Width <= 0 {
		return
	}
	t.sweep(now)
	byWorkspace := t.replicas[r.Scheduler]
	if byWorkspace == nil || r.Whole {
		byWorkspace = make(map[string]*history)
		t.replicas[r.Scheduler] = byWorkspace
	}
	r.addTo(byWorkspace, t.bin(now), t.opts.binWidth())
	t.changes++
}

// Admitted returns what the Table admitted within the last window.
func (t *Table) Admitted(now time.Time) Report {
	histories := make(map[string]*history, len(t.buckets))
	for name, b := range t.buckets {
		b.used.advance(t.bin(now))
		histories[name] = &b.used
	}
	r := reportOf(t.opts.Self, t.opts.binWidth(), histories)
	r.Whole = true
	return r
}

// Fresh returns what the Table admitted and refunded since the last call, of the last window.
func (t *Table) Fresh(now time.Time) Report {
	t.replicated = true
	for _, histories := range []map[string]*history{t.fresh, t.refunded} {
		for _, h := range histories {
			h.advance(t.bin(now))
		}
	}
	r := reportOf(t.opts.Self, t.opts.binWidth(), t.fresh)
	r.Refunds = reportOf(t.opts.Self, t.opts.binWidth(), t.refunded).Uses
	clear(t.fresh)
	clear(t.refunded)
	return r
}

func (t *Table) addFresh(now time.Time, workspace string) {
	historyOf(t.fresh, workspace, t.bin(now)).add(t.bin(now), t.bin(now), 1)
}

// refundFresh takes back an admission that is to be replicated, or replicates its refund.
func (t *Table) refundFresh(now time.Time, workspace string, admitted time.Time) {
	present, bin := t.bin(now), t.bin(admitted)
	if h := t.fresh[workspace]; h != nil {
		if h.advance(present); h.at(bin) > 0 {
			h.remove(present, bin)
			return
		}
	}
	historyOf(t.refunded, workspace, present).add(present, bin, 1)
}

func (t *Table) bin(at time.Time) int64 {
	return int64(math.Floor(float64(at.Sub(t.start)) / float64(t.opts.binWidth())))
}

// binEnd returns the end of a bin.
func (t *Table) binEnd(bin int64) time.Time {
	return t.start.Add(time.Duration(bin+1) * t.opts.binWidth())
}
