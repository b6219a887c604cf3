package scheduler

import "time"

// standstillGap is how long after the last SetShare this scheduler has stood still, or scheduled for nobody:
// its driver calls it every 100 ms. Its hosts leave it after 350 ms.
const standstillGap = 300 * time.Millisecond

// forfeitAccrued takes away what has accrued of the rate limits if this scheduler stood still: another one
// may have used it.
func (c *Core) forfeitAccrued(now time.Time) {
	if c.sharedAt.IsZero() || now.Sub(c.sharedAt) <= standstillGap {
		return
	}
	since := c.sharedAt
	c.sharedAt = now
	if len(c.members) > 0 {
		// One without hosts is told what others admitted as its hosts join.
		c.quotas.table.Forfeit(now, since)
	}
	for _, s := range c.endpoints {
		if s.pacer != nil {
			s.pacer.Forfeit(now)
		}
	}
}
