package quota

import "time"

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
