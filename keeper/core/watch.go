package core

import "time"

// watch decides whether the stream is followed, which means that every record is
// read. Only a host that leads or may soon lead follows; the others poll only the
// stream's end, less often the lower they rank.
type watch struct {
	following bool
	// followUntil is the time until which to follow while another host leads.
	followUntil time.Time
	// end is the last observed end of the stream, first observed at endChangedAt:
	// every record below end was appended before endChangedAt.
	end          int64
	endChangedAt time.Time
	endKnown     bool
	// hintRequested reports that the snapshot hint was requested.
	hintRequested bool
}

// followTTLs is how long a host follows a stream that it does not lead, in lease
// TTLs.
const followTTLs = 4

// ReportNoLeader reports that the partition appears to have no leader. A candidate
// then follows the stream.
func (c *Core) ReportNoLeader(now time.Time) {
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
		c.watch.hintRequested = false
		c.reads.dueAt = now
	}
}

// unfollowIfLed stops following and discards the replayed state if another host
// leads and followUntil has passed.
func (c *Core) unfollowIfLed(now time.Time) {
	w := &c.watch
	if !w.following || c.ownsLease() || now.Before(w.followUntil) || c.replay.Seeking() {
		return
	}
	if now.Sub(c.elector.HolderSeenAt()) >= c.opts.Lease.TTL || c.elector.Holder() == "" {
		return
	}
	w.following = false
	c.resetReplay(now)
}

// observeEnd records the stream's end while the stream is not followed. A
// candidate starts to follow once the end has not moved for a lease TTL, or at
// once if the stream is empty and the candidate ranks first.
func (c *Core) observeEnd(now time.Time, end int64) {
	w := &c.watch
	if !w.endKnown || end != w.end {
		w.endKnown = true
		w.end = end
		w.endChangedAt = now
	}
	unchanged := now.Sub(w.endChangedAt) >= c.opts.Lease.TTL
	if c.rank >= 0 && (unchanged || (end == 0 && c.rank == 0)) {
		c.follow(now)
	}
}

// watchInterval returns the interval between reads of the stream's end.
func (c *Core) watchInterval() time.Duration {
	return c.opts.Lease.TTL / 2 * time.Duration(1+max(c.rank, 0))
}

// existedBy returns a time by which the record at offset was in the stream: if it
// lies before the last observed end, the time at which that end was first observed,
// or else now.
func (c *Core) existedBy(now time.Time, offset int64) time.Time {
	if c.watch.endKnown && offset < c.watch.end {
		return c.watch.endChangedAt
	}
	return now
}

// Following reports whether every record of the stream is read.
func (c *Core) Following() bool {
	return c.watch.following
}
