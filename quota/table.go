package quota

import (
	"math"
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

// limit returns how many requests a bucket holds for this scheduler. A share of less than a request
// fills up to one while requests come: each scheduler then admits its share of the rate.
func (t *Table) limit(now time.Time, b *bucket, burst float64) float64 {
	limit := t.share*t.opts.capacity(burst) + t.phase(now, b)
	if limit < 1 && t.share > 0 && now.Sub(b.refusedAt) <= demandMemory {
		return 1
	}
	return limit
}

// rate returns at how many requests per second a bucket fills for this scheduler.
func (t *Table) rate(b *bucket) float64 {
	return t.share * t.opts.rate(b.claim.RequestsPerSecond)
}

// phase returns what is added to the share of a bucket's capacity while several schedulers are at
// work: a number from 0 to 1 that differs between them, and changes with each window. It is added
// to fractions of a request, so that of 61 hosts with 0.3 requests each some 18 admit one.
func (t *Table) phase(now time.Time, b *bucket) float64 {
	if t.share >= splitShare || t.share <= 0 {
		return 0
	}
	const golden = 0.6180339887498949
	window := float64(int64(now.Sub(t.start) / t.opts.Window))
	_, phase := math.Modf(float64(b.hash)/(1<<64) + window*golden)
	return phase
}

// update brings a bucket up to now.
func (t *Table) update(now time.Time, b *bucket) {
	b.used.advance(t.bin(now))
	if b.changes == t.changes && b.level >= 0 {
		b.level = min(t.limit(now, b, b.claim.Burst), b.level+t.rate(b)*t.accruing(b.at, now).Seconds())
		b.at = now
		return
	}
	// Also while a bucket is overdrawn: what was admitted before the window doesn't count.
	b.changes = t.changes
	t.replay(now, b)
}

// replay computes the level of a bucket that was full a window ago, from what was admitted since.
func (t *Table) replay(now time.Time, b *bucket) {
	limit, rate := t.limit(now, b, b.claim.Burst), t.rate(b)
	at, level := now.Add(-t.opts.Window), limit
	if t.countedSince.After(at) {
		at, level = t.countedSince, 0
		if t.share < splitShare {
			level = t.phase(now, b)
		}
	}
	if b.limitsSince.After(at) {
		at, level = b.limitsSince, min(limit, b.levelThen)
	}
	others := t.others(now, b.claim.Workspace)
	for bin := t.bin(at); bin <= t.bin(now); bin++ {
		n := b.used.at(bin) + countIn(others, bin)
		if n == 0 {
			continue
		}
		end := t.binEnd(bin)
		if end.After(now) {
			end = now
		}
		if end.After(at) {
			level = min(limit, level+rate*t.accruing(at, end).Seconds())
			at = end
		}
		level -= float64(n)
	}
	b.level = min(limit, level+rate*t.accruing(at, now).Seconds())
	b.at = now
}

func countIn(histories []*history, bin int64) int {
	n := 0
	for _, h := range histories {
		n += h.at(bin)
	}
	return n
}

// others returns what other schedulers admitted of a workspace. Of what hosts and a scheduler
// itself tell, the larger counts: a host that has ended tells nothing, and of what a scheduler
// admitted last, the hosts alone know.
func (t *Table) others(now time.Time, workspace string) []*history {
	var out []*history
	present := t.bin(now)
	told := make(map[string]*history)
	for _, report := range t.told {
		for scheduler, byWorkspace := range report.byScheduler {
			h := byWorkspace[workspace]
			if h == nil {
				continue
			}
			sum := told[scheduler]
			if sum == nil {
				sum = &history{newest: present}
				told[scheduler] = sum
			}
			h.advance(present)
			if h.total == 0 {
				continue
			}
			for bin := present - windowBins; bin <= present; bin++ {
				sum.add(present, bin, h.at(bin))
			}
		}
	}
	for scheduler, byWorkspace := range t.replicas {
		h := byWorkspace[workspace]
		if h == nil {
			continue
		}
		h.advance(present)
		if sum := told[scheduler]; sum == nil || sum.total < int(t.share*float64(h.total)) {
			told[scheduler] = h.scaled(t.share)
		}
	}
	for _, h := range told {
		out = append(out, h)
	}
	return out
}

// overloadBins is the number of bins over which the rate of first attempts is measured: 1 s of a
// window of 5 s.
const overloadBins = windowBins / 5

// maxRefusedKept bounds the refused requests that are remembered: more than come back within a
// client's deadline.
const maxRefusedKept = 8192

// key identifies the request of a claim.
func (c *Claim) key() string {
	return c.Workspace + "/" + c.Fingerprint
}

// wasRefused reports whether a request was refused before.
func (t *Table) wasRefused(c *Claim) bool {
	return c.Fingerprint != "" && t.refusedRequests.Has(c.key())
}

// overloaded reports whether first attempts alone come faster than the bucket fills. Requests that
// come again are refused then: each would take the place of one that can still be in time.
func (t *Table) overloaded(now time.Time, b *bucket) bool {
	b.first.advance(t.bin(now))
	n := 0
	for bin := t.bin(now) - overloadBins; bin < t.bin(now); bin++ {
		n += b.first.at(bin)
	}
	span := time.Duration(overloadBins) * t.opts.binWidth()
	return float64(n) > t.rate(b)*span.Seconds()
}

// refusal refuses a request. While first attempts use up the quota, it is to come again after a
// window. Otherwise, the times after which refused requests are to come again are spaced
// as the bucket fills.
func (t *Table) refusal(now time.Time, b *bucket) *Refusal {
	b.refused++
	wait := t.opts.Window
	if rate := t.rate(b); rate > 0 && !t.overloaded(now, b) {
		earliest := now.Add(min(t.opts.Window, time.Duration((1-b.level)/rate*float64(time.Second))))
		if b.nextRetry.Before(earliest) {
			b.nextRetry = earliest
		} else {
			b.nextRetry = b.nextRetry.Add(min(t.opts.Window, time.Duration(float64(time.Second)/rate)))
		}
		if latest := now.Add(t.opts.Window); b.nextRetry.After(latest) {
			b.nextRetry = latest
		}
		wait = b.nextRetry.Sub(now)
	}
	return &Refusal{
		Workspace: b.claim.Workspace, RequestsPerSecond: b.claim.RequestsPerSecond, Burst: b.claim.Burst, Version: b.claim.Version,
		Used: t.used(now, b), Share: t.share, Known: min(t.opts.Window, now.Sub(t.countedSince)), RetryAfter: wait,
	}
}

// used returns how many requests are known to be admitted within the window.
func (t *Table) used(now time.Time, b *bucket) int {
	n := b.used.total
	for _, h := range t.others(now, b.claim.Workspace) {
		n += h.total
	}
	return n
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
