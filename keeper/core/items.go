package core

import (
	"time"

	"github.com/peridotmount/peridotmount/ledger"
)

// schedule starts items while this host leads. After the lease has expired no
// item is started; running items continue until another host's claim is read,
// because their results are fenced by the epoch.
func (c *Core) schedule(now time.Time) {
	if !c.Leads(now) {
		return
	}
	for {
		t, found := c.scheduler.next(now, c.replay.State(), c.weight)
		if !found {
			return
		}
		c.ready.Start = append(c.ready.Start, t)
	}
}

// ItemEnded reports the end of an item's run. The outcome of an item that was
// stopped is discarded.
func (c *Core) ItemEnded(now time.Time, o Outcome) {
	if c.scheduler.applyOutcome(now, &o) {
		switch {
		case o.Done != nil:
			c.enqueue(ledger.Entry{ItemDone: o.Done})
		case o.UsedAttempt:
			c.enqueue(ledger.Entry{ItemAttempt: &ledger.ItemAttempt{Job: o.Key.Job, Index: o.Key.Index}})
		}
	}
	c.advance(now)
}
