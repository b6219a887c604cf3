package slots

import (
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/scheduler"
)

const (
	// failingRetention is how long failures at an endpoint are kept for a scheduler that is
	// elected, maxFailing at how many endpoints, and maxHelloFailing how many a hello lists.
	failingRetention = 10 * time.Second
	maxFailing       = 64
	maxHelloFailing  = 16
)

// failingLog holds the endpoints at which the last uses by this host failed, for a scheduler that is
// elected: it knows nothing of what the former one learned.
type failingLog struct {
	endpoints map[string]failingUses
}

// failingUses are the failures in a row at one endpoint, the last of which was at a time.
type failingUses struct {
	failures int
	at       time.Time
}

// record records how a use of an endpoint ended.
func (l *failingLog) record(now time.Time, endpoint string, o scheduler.Outcome) {
	switch o {
	case scheduler.Finished:
		delete(l.endpoints, endpoint)
	case scheduler.Errored, scheduler.Failed, scheduler.Unreachable:
		uses, known := l.endpoints[endpoint]
		if !known && len(l.endpoints) >= maxFailing {
			l.expire(now)
			if len(l.endpoints) >= maxFailing {
				return
			}
		}
		if l.endpoints == nil {
			l.endpoints = make(map[string]failingUses)
		}
		if now.Sub(uses.at) >= failingRetention {
			uses.failures = 0
		}
		l.endpoints[endpoint] = failingUses{failures: uses.failures + 1, at: now}
	}
}

// list returns the endpoints with the latest failures and their ages, the latest first.
func (l *failingLog) list(now time.Time) []scheduler.FailingEndpoint {
	l.expire(now)
	var out []scheduler.FailingEndpoint
	for id, uses := range l.endpoints {
		out = append(out, scheduler.FailingEndpoint{Endpoint: id, Failures: uses.failures, Age: now.Sub(uses.at)})
	}
	slices.SortFunc(out, func(a, b scheduler.FailingEndpoint) int { return int(a.Age - b.Age) })
	return out[:min(len(out), maxHelloFailing)]
}

func (l *failingLog) expire(now time.Time) {
	for id, uses := range l.endpoints {
		if now.Sub(uses.at) >= failingRetention {
			delete(l.endpoints, id)
		}
	}
}
