package scheduler

import "time"

// SetStranded records whether a host reaches no endpoint itself, and for how long so far. What a stranded host reported
// of endpoints before it knew is taken back, and the slots of the requests that it had in
// progress are released after the time that requests usually take: it may not learn their end
// before their deadlines.
//
// The load it answers: a partition between six hosts of eleven and all endpoints, each of which
// the six report as unreachable while the other five use it.
func (c *Core) SetStranded(now time.Time, host string, stranded bool, strandedFor time.Duration) {
	m := c.members[host]
	if m == nil || m.stranded == stranded {
		return
	}
	m.stranded = stranded
	if stranded {
		for _, s := range c.endpoints {
			if s.pausedBy == host {
				s.markHealthy()
			}
		}
	}
	for _, t := range c.tickets {
		if t.host != host || t.class != Online {
			continue
		}
		t.presumedDone = time.Time{}
		if lostAt := now.Add(-strandedFor); stranded && !t.since.After(lostAt) {
			v := c.service(t.endpoint.Service)
			t.presumedDone = lostAt.Add(time.Duration(strandedHolds * float64(v.meanHold)))
		}
	}
	c.dispatchAll(now)
}

// releasePresumedDone releases the slots of requests of stranded hosts that have taken longer
// than requests usually take.
func (c *Core) releasePresumedDone(now time.Time) {
	for _, t := range c.tickets {
		if !t.presumedDone.IsZero() && now.After(t.presumedDone) {
			c.release(t)
		}
	}
}
