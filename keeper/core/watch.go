package core

import "time"

// watch decides whether the stream is followed record by record. Only a host
// that leads, or may soon, follows; the others ask now and then for the
// stream's end alone, the less often the lower they rank.
type watch struct {
	following bool
	// followUntil is how long to follow while another host leads.
	followUntil time.Time
	// end is the stream's end as last seen, first at endAt: every record below
	// end was appended before endAt.
	end   int64
	endAt time.Time
	known bool
	// hinted tells that the hint of a snapshot was asked for.
	hinted bool
}

// followTTLs is how many lease times a host follows a stream that it does not
// lead.
const followTTLs = 4

// Nudge tells that the partition seems to have no leader.
func (c *Core) Nudge(now time.Time) {
	if c.rank < 0 || c.closing {
		return
	}
	c.follow(now)
	c.advance(now)
}

func (c *Core) follow(now time.Time) {
	c.watch.followUntil = now.Add(followTTLs * c.opts.Lease.TTL)
	if !c.watch.following {
		c.watch.following = true
		c.watch.hinted = false
		c.reads.dueAt = now
	}
}

// unfollow drops the replayed state once another host is seen to lead.
func (c *Core) unfollow(now time.Time) {
	w := &c.watch
	if !w.following || c.mine() || now.Before(w.followUntil) || c.replay.Seeking() {
		return
	}
	if now.Sub(c.elector.Heard()) >= c.opts.Lease.TTL || c.elector.Holder() == "" {
		return
	}
	w.following = false
	c.resetReplay(now)
}

// sawEnd records the stream's end while it is only watched.
func (c *Core) sawEnd(now time.Time, end int64) {
	w := &c.watch
	if !w.known || end != w.end {
		w.known = true
		w.end = end
		w.endAt = now
	}
	stale := now.Sub(w.endAt) >= c.opts.Lease.TTL
	if c.rank >= 0 && (stale || (end == 0 && c.rank == 0)) {
		c.follow(now)
	}
}

// watchEvery is the time between two looks at the stream's end.
func (c *Core) watchEvery() time.Duration {
	return c.opts.Lease.TTL / 2 * time.Duration(1+max(c.rank, 0))
}

// heardAt returns when a record was heard of at the latest.
func (c *Core) heardAt(now time.Time, offset int64) time.Time {
	if c.watch.known && offset < c.watch.end {
		return c.watch.endAt
	}
	return now
}

// Following reports whether the stream is followed record by record.
func (c *Core) Following() bool {
	return c.watch.following
}
