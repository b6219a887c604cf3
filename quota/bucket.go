package quota

import "time"

// bucket is the token bucket of a workspace.
type bucket struct {
	// claim holds the limits of the newest version of the configuration.
	claim Claim
	// hash differs between workspaces and schedulers.
	hash uint64
	// level is the number of requests that are admitted at the time at. It is negative if
	// more was admitted under others than the share of this scheduler.
	level float64
	at    time.Time
	// changes is the Table.changes that level was computed for.
	changes uint64
	// limitsSince is when the limits last changed; levelThen is the level at that time.
	limitsSince time.Time
	levelThen   float64
	// used counts the admissions of this Table, refused its refusals, first the requests with
	// a fingerprint that were not refused before.
	used    history
	refused int
	first   history
	// refusedAt is when a request was last not admitted, nextRetry when the last refused one is to
	// come again.
	refusedAt, nextRetry time.Time
}

// setLimits applies the limits of a newer configuration. What was admitted under the former ones is
// settled: a lower limit would otherwise refuse everything for as long as the higher one takes to
// be made up for.
func (b *bucket) setLimits(now time.Time, c *Claim, limit float64) {
	changed := c.RequestsPerSecond != b.claim.RequestsPerSecond || c.Burst != b.claim.Burst
	b.claim = *c
	if !changed {
		return
	}
	b.level = max(0, min(b.level, limit))
	b.limitsSince, b.levelThen, b.nextRetry = now, b.level, time.Time{}
}
