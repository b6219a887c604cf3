package slots

import (
	"time"

	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/throttle"
)

// maxSent bounds a sentLog: with more, endpoints get more than any rate limit in a window.
const maxSent = 2000

// sentLog holds the requests that this host sent within the last throttle.Window, oldest first,
// for a scheduler that is elected.
type sentLog struct {
	endpoints []string
	times     []time.Time
}

// add records a request to an endpoint.
func (l *sentLog) add(now time.Time, endpoint string) {
	l.expire(now)
	if len(l.times) >= maxSent {
		return
	}
	l.endpoints, l.times = append(l.endpoints, endpoint), append(l.times, now)
}

// since returns the requests with their ages.
func (l *sentLog) since(now time.Time) []scheduler.Sent {
	l.expire(now)
	out := make([]scheduler.Sent, len(l.times))
	for i := range out {
		out[i] = scheduler.Sent{Endpoint: l.endpoints[i], Age: now.Sub(l.times[i])}
	}
	return out
}

func (l *sentLog) expire(now time.Time) {
	old := 0
	for old < len(l.times) && now.Sub(l.times[old]) >= throttle.Window {
		old++
	}
	l.endpoints, l.times = l.endpoints[old:], l.times[old:]
}
