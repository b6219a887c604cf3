package quota

import (
	"math"
	"time"
)

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
