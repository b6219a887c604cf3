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
	// stranded means that the host reaches no endpoint itself: what it reports of endpoints
	// says nothing of them, and it gets no items but those that it has output or input of.
	stranded bool
	// itemsAfter is when the host gets batch items again, after one of a job that it had not
	// read. A host that starts has the fewest items, and would be given all.
	itemsAfter time.Time
	// unread holds the endpoints that the host was given and had not read yet.
	unread map[string]unreadEndpoint
	// paths are the endpoints at which the host's uses failed of late; failed and used count its
	// uses.
	paths        map[string]*pathState
	failed, used decayingCount
}

// unreadEndpoint is an endpoint whose record a host has not read.
type unreadEndpoint struct {
	// until is when the host is given work there again.
	until time.Time
	pause time.Duration
}

// setUnread excludes the host from an endpoint for unreadPause, and for longer if it still has
// not read the endpoint after that. Reports during the pause are about work given before it.
func (m *member) setUnread(now time.Time, endpoint string) {
	pause := unreadPause
	if u, found := m.unread[endpoint]; found {
		if now.Before(u.until) {
			return
		}
		if now.Sub(u.until) < maxPause {
			pause = min(2*u.pause, maxPause)
		}
	}
	for id, u := range m.unread {
		if now.Sub(u.until) >= maxPause {
			delete(m.unread, id)
		}
	}
	if m.unread == nil {
		m.unread = make(map[string]unreadEndpoint)
	}
	m.unread[endpoint] = unreadEndpoint{until: now.Add(pause), pause: pause}
}

// mayUse reports whether the host may be given work at an endpoint.
func (m *member) mayUse(now time.Time, endpoint string) bool {
	return len(m.unread) == 0 || !now.Before(m.unread[endpoint].until)
}
