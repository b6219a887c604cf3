package scheduler

import "time"

// member is a host with a session at this scheduler.
type member struct {
	name   string
	zone   string
	region string
	// runningItems counts the batch items that the host runs.
	runningItems int
	// leaving means that the host is shutting down and gets no new batch items.
	leaving bool
	// unlisted maps endpoints to when the host is given work there again, after it had not
	// read their records yet.
	unlisted map[string]unlistedEndpoint
}

// unlistedEndpoint is an endpoint whose record a host has not read.
type unlistedEndpoint struct {
	until time.Time
	// pause is the time from the host's last report to until.
	pause time.Duration
}

// setUnlisted excludes the host from an endpoint for unlistedPause, and for longer if it
// reports the endpoint again right after that.
func (m *member) setUnlisted(now time.Time, endpoint string) {
	pause := unlistedPause
	if u, found := m.unlisted[endpoint]; found && now.Sub(u.until) < maxPause {
		pause = min(2*u.pause, maxPause)
	}
	for id, u := range m.unlisted {
		if now.Sub(u.until) >= maxPause {
			delete(m.unlisted, id)
		}
	}
	if m.unlisted == nil {
		m.unlisted = make(map[string]unlistedEndpoint)
	}
	m.unlisted[endpoint] = unlistedEndpoint{until: now.Add(pause), pause: pause}
}

// lists reports whether the host can be given work at an endpoint, as far as is known.
func (m *member) lists(now time.Time, endpoint string) bool {
	return !now.Before(m.unlisted[endpoint].until)
}

// listsAll reports whether the host can be given work at all endpoints.
func (m *member) listsAll(now time.Time) bool {
	for _, u := range m.unlisted {
		if now.Before(u.until) {
			return false
		}
	}
	return true
}
