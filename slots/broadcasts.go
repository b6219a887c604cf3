package slots

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/throttle"
)

// broadcastState sends all hosts the names of hosts that are alive without a recent
// record in the store, the convictions of requests that crash endpoints and the suspects,
// and the endpoints that announced in a response that they are leaving.
func (l *LocalScheduler) broadcastState(now time.Time) {
	l.mu.Lock()
	alive := l.participation.withoutRecentRecord(clock.Now(), l.hosts.LastRecordRead)
	l.mu.Unlock()
	l.attribution.announced = l.attribution.tracker.Suspects()
	l.broadcast(SchedulerMessage{Broadcast: &Broadcast{
		Alive: alive, Convictions: l.convictions.All(now), Suspects: l.attribution.announced, EndpointsLeaving: l.leavingEndpoints(), Quotas: true,
	}})
}

func (l *LocalScheduler) broadcast(m SchedulerMessage) {
	l.mu.Lock()
	sinks := slices.Collect(maps.Values(l.sessions))
	l.mu.Unlock()
	for _, s := range sinks {
		s.deliver(m)
	}
}

// handleLeavingEndpoints records endpoints that announced to a host that they are
// leaving. New ones are broadcast at once: the time limit at the other hosts starts when
// they receive the broadcast, and work queued there moves to other endpoints.
//
// It runs outside of Serve: a change of the endpoints enqueues a command itself, and Serve
// would block forever if it did so while the queue is full.
func (l *LocalScheduler) handleLeavingEndpoints(host string, leaving []endpoint.Incarnation) {
	added := host == l.self
	for _, i := range leaving {
		if l.addLeavingEndpoint(i) {
			added = true
		}
	}
	if added {
		l.enqueue(func(now time.Time, _ *scheduler.Core) { l.broadcastState(now) })
	}
}

// handleLimits records the rate limits that endpoints named to a host, and passes changes on
// to all hosts. Only changes are sent: with hundreds of hosts, and as many limited endpoints,
// all limits would be megabytes. It runs outside of Serve, as handleLeavingEndpoints does.
func (l *LocalScheduler) handleLimits(host string, notices []throttle.Notice) {
	if host != l.self {
		// This host's own have been merged already.
		notices = l.limits.Merge(notices)
	}
	if len(notices) > 0 {
		l.enqueue(func(time.Time, *scheduler.Core) { l.broadcast(SchedulerMessage{Limits: notices}) })
	}
}
