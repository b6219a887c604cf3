package keeper

import (
	"time"

	"github.com/peridotmount/peridotmount/keeper/core"
	"github.com/peridotmount/peridotmount/ledger"
)

// input is an event that is delivered to a partition's core.
type input interface {
	deliver(c *core.Core, now time.Time)
}

type appendDone struct{}

func (appendDone) deliver(c *core.Core, now time.Time) { c.AppendDone(now) }

type readDone struct {
	page *core.Page
}

func (m readDone) deliver(c *core.Core, now time.Time) { c.ReadDone(now, m.page) }

type recordFetched struct {
	offset  int64
	record  *ledger.Record
	trimmed bool
}

func (m recordFetched) deliver(c *core.Core, now time.Time) {
	c.Fetched(now, m.offset, m.record, m.trimmed)
}

type itemEnded struct {
	outcome core.Outcome
}

func (m itemEnded) deliver(c *core.Core, now time.Time) { c.ItemEnded(now, m.outcome) }

type leaderMissing struct{}

func (leaderMissing) deliver(c *core.Core, now time.Time) { c.ReportNoLeader(now) }

// wakeup has no effect on the core. It makes the partition tick the core, and
// process what a new proposal made ready, without waiting for the tick interval.
type wakeup struct{}

func (wakeup) deliver(*core.Core, time.Time) {}
