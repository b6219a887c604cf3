package scheduler

import "time"

// maxDeparted bounds the endpoints that have left whose crashes are remembered.
const maxDeparted = 1024

// keepCrashes remembers the crashes of an endpoint that is removed: the record of one that has
// crashed lapses before it is back.
func (c *Core) keepCrashes(now time.Time, s *endpointState) {
	s.health.replaced(now)
	if s.health.lastCrash().IsZero() {
		return
	}
	if len(c.departed) >= maxDeparted {
		for key, crashes := range c.departed {
			if crashes[maxCrashes-1].Before(s.health.lastCrash().Add(-crashWindow)) {
				delete(c.departed, key)
			}
		}
	}
	if len(c.departed) < maxDeparted {
		c.departed[s.identity()] = s.health.crashes
	}
}

// identity returns what an endpoint has in common with the one that it replaces: its address, or its
// id if that is not known. An endpoint that starts again usually has another id.
func (s *endpointState) identity() string {
	if s.Address != "" {
		return s.Address
	}
	return s.ID
}

// recallCrashes returns the crashes of the endpoint that a new one replaces.
func (c *Core) recallCrashes(now time.Time, s *endpointState) [maxCrashes]time.Time {
	key := s.identity()
	if crashes, found := c.departed[key]; found {
		delete(c.departed, key)
		return crashes
	}
	for _, o := range c.endpoints {
		if o != s && o.Service == s.Service && o.identity() == key {
			o.health.replaced(now)
			return o.health.crashes
		}
	}
	return [maxCrashes]time.Time{}
}
