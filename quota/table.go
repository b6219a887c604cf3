package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/recent"
)

// splitShare is the share below which several schedulers are at work, and each has a fraction of a
// request at most: see Table.phase.
const splitShare = 0.5

// roundingError is what a level may lack of a request, so that a request that comes again when it
// was told to is admitted.
const roundingError = 1e-6

// demandMemory is for how long after a refusal a share of less than a request goes on to fill. It is
// short: what many schedulers save adds up.
const demandMemory = 500 * time.Millisecond

// Table holds a token bucket for each active workspace. It is not safe for concurrent use.
//
// Invariant: with C the capacity and R the rate of a bucket (Options.capacity, Options.rate), a
// Table with share s admits at most s x (C + R x t) requests in any time t of at most a window,
// those of earlier schedulers that it was told of included. Tables whose shares add up to 1 thus
// admit at most C + R x Window within a window. That is (rate x Window + burst) x (1 + Overrun/2) +
// Slack/2, half as much above the quota as is allowed. With shares below splitShare, which may be
// less than a request, this holds for the mean over schedulers.
//
// A limit that changes binds within a window after the Table was told.
type Table struct {
	opts  Options
	start time.Time
	share float64
	// changes counts what all buckets have to be computed anew for.
	changes uint64
	// countedSince is when the Table began to count. What was admitted before is known from
	// reports alone, or not at all: the buckets were empty then.
	countedSince time.Time
	buckets      map[string]*bucket
	// rateSum is the sum of the rates of their quotas.
	rateSum float64
	// told holds what hosts reported that other schedulers admitted for them, by host;
	// replicas what such schedulers told themselves, by scheduler.
	told     map[string]*hostReport
	replicas map[string]map[string]*history
	// fresh counts the admissions since the last call of Fresh, by workspace; refunded counts
	// the refunds of admissions that an earlier call returned.
	fresh, refunded map[string]*history
	// replicated means that Fresh is called.
	replicated bool
	nextSweep  time.Time
	// standstills are those of the last windows, in order and without overlap. They are kept as
	// buckets that are computed anew would otherwise fill for their time.
	standstills []standstill
	// refusedRequests are the workspaces and fingerprints of requests that were refused.
	refusedRequests *recent.Set
}

// hostReport is what a host told of the last window.
type hostReport struct {
	at          time.Time
	byScheduler map[string]map[string]*history
}

// NewTable returns a Table without buckets that has the whole of each limit.
func NewTable(o Options) *Table {
	return &Table{
		opts: o.withDefaults(), share: 1, buckets: make(map[string]*bucket), told: make(map[string]*hostReport),
		replicas: make(map[string]map[string]*history), fresh: make(map[string]*history), refunded: make(map[string]*history),
		refusedRequests: recent.NewSet(maxRefusedKept),
	}
}

// Start begins to count, if that has not begun.
func (t *Table) Start(now time.Time) {
	if t.start.IsZero() {
		t.start, t.countedSince = now, now
	}
}

// Share returns the fraction of each limit that the Table may use.
func (t *Table) Share() float64 { return t.share }

// Len returns the number of workspaces with a bucket.
func (t *Table) Len() int { return len(t.buckets) }

// Weight returns the rate of a workspace's quota, the mean one if it has no bucket, and 1 if none
// has.
func (t *Table) Weight(workspace string) float64 {
	if b := t.buckets[workspace]; b != nil {
		return b.claim.RequestsPerSecond
	}
	if len(t.buckets) == 0 || t.rateSum <= 0 {
		return 1
	}
	return t.rateSum / float64(len(t.buckets))
}

// SetShare sets the fraction of each limit that the Table may use.
func (t *Table) SetShare(now time.Time, share float64) {
	t.Start(now)
	t.sweep(now)
	if share != t.share {
		t.share = share
		t.changes++
	}
}

// longStandstill is the fraction of a window after which a scheduler that stood still may have been
// replaced for long enough that all that has accrued may be used.
const longStandstill = 0.2

// Forfeit counts the time since a moment as used, in which this scheduler stood still: another one
// may have admitted requests. After a long standstill nothing is left of what accrued before.
func (t *Table) Forfeit(now, since time.Time) {
	t.Start(now)
	if now.Sub(since) > time.Duration(longStandstill*float64(t.opts.Window)) {
		t.countedSince = now
		t.changes++
		return
	}
	t.standstills = append(t.standstills, standstill{since: since, until: now})
}

// standstill is a time for which nothing accrues.
type standstill struct{ since, until time.Time }

// accruing returns how much of a time buckets fill for.
func (t *Table) accruing(from, to time.Time) time.Duration {
	total := to.Sub(from)
	for _, s := range t.standstills {
		since, until := s.since, s.until
		if since.Before(from) {
			since = from
		}
		if until.After(to) {
			until = to
		}
		total -= max(0, until.Sub(since))
	}
	return max(0, total)
}

// Charge admits a request, or returns why not.
func (t *Table) Charge(now time.Time, c *Claim) *Refusal {
	if t.TryCharge(now, c) {
		return nil
	}
	b, again := t.buckets[c.Workspace], t.wasRefused(c)
	if c.Fingerprint != "" {
		if !again {
			b.first.add(t.bin(now), t.bin(now), 1)
		}
		t.refusedRequests.Add(c.key())
	}
	refusal := t.refusal(now, b)
	refusal.Again = again
	return refusal
}

// TryCharge reports whether it admits a request. One that is not admitted may be tried again later and
// does not count as refused.
func (t *Table) TryCharge(now time.Time, c *Claim) bool {
	t.Start(now)
	t.sweep(now)
	b := t.buckets[c.Workspace]
	if b == nil {
		b = &bucket{claim: *c, hash: xxhash.Sum64String(t.opts.Self + "/" + c.Workspace), changes: t.changes - 1}
		b.used.newest = t.bin(now)
		t.buckets[c.Workspace] = b
		t.rateSum += c.RequestsPerSecond
	}
	t.update(now, b)
	if c.Version > b.claim.Version {
		t.rateSum += c.RequestsPerSecond - b.claim.RequestsPerSecond
		b.setLimits(now, c, t.limit(now, b, c.Burst))
	}
	again := t.wasRefused(c)
	if b.level < 1-roundingError || again && t.overloaded(now, b) {
		b.refusedAt = now
		return false
	}
	if c.Fingerprint != "" && !again {
		b.first.add(t.bin(now), t.bin(now), 1)
	}
	b.level = max(0, b.level-1)
	b.used.add(t.bin(now), t.bin(now), 1)
	if t.replicated {
		t.addFresh(now, c.Workspace)
	}
	return true
}

// Refund takes back the charge of a request that was admitted at the given time.
func (t *Table) Refund(now time.Time, workspace string, admitted time.Time) {
	b := t.buckets[workspace]
	if b == nil {
		return
	}
	t.update(now, b)
	b.level = min(t.limit(now, b, b.claim.Burst), b.level+1)
	b.used.remove(t.bin(now), t.bin(admitted))
	if t.replicated {
		t.refundFresh(now, workspace, admitted)
	}
}

// sweep evicts what is older than the window.
func (t *Table) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(t.opts.Window)
	// Buckets that were not used for a window are evicted, so a standstill matters for two at most.
	t.standstills = slices.DeleteFunc(t.standstills, func(s standstill) bool { return now.Sub(s.until) >= 3*t.opts.Window })
	for name, b := range t.buckets {
		// Not by bucket.at, which States moves on as well.
		if b.used.advance(t.bin(now)); b.used.total == 0 && now.Sub(b.refusedAt) >= t.opts.Window {
			t.rateSum -= b.claim.RequestsPerSecond
			delete(t.buckets, name)
		}
	}
	if len(t.buckets) == 0 {
		t.rateSum = 0
	}
	for host, report := range t.told {
		if now.Sub(report.at) >= t.opts.Window {
			delete(t.told, host)
		}
	}
	for scheduler, byWorkspace := range t.replicas {
		for name, h := range byWorkspace {
			if h.advance(t.bin(now)); h.total == 0 {
				delete(byWorkspace, name)
			}
		}
		if len(byWorkspace) == 0 {
			delete(t.replicas, scheduler)
		}
	}
}
