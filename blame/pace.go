package blame

import (
	"slices"
	"time"
)

// suspectInterval is the minimum time between two requests with the same suspect key that
// are sent to endpoints: an endpoint begins to answer or crashes within it, and all hosts
// have reported that.
const suspectInterval = 250 * time.Millisecond

// Pace spaces the requests with suspect keys, so that few endpoints crash until there is
// a verdict, however many such requests come. It is deterministic and not safe for
// concurrent use.
type Pace struct {
	// next is when the next request with a suspect key may be sent.
	next map[Key]time.Time
}

// NewPace returns a Pace without suspects.
func NewPace() *Pace {
	return &Pace{next: make(map[Key]time.Time)}
}

// SetSuspects replaces the suspect keys.
func (p *Pace) SetSuspects(keys []Key) {
	for k := range p.next {
		if !slices.Contains(keys, k) {
			delete(p.next, k)
		}
	}
	for _, k := range keys {
		if _, known := p.next[k]; !known {
			p.next[k] = time.Time{}
		}
	}
}

// Wait returns how long a request with these keys has to wait, zero if it may be sent.
func (p *Pace) Wait(now time.Time, keys []Key) time.Duration {
	if len(p.next) == 0 {
		return 0
	}
	wait := time.Duration(0)
	for _, k := range keys {
		if next, suspect := p.next[k]; suspect {
			wait = max(wait, next.Sub(now))
		}
	}
	return wait
}

// Granted records that a request with these keys is sent.
func (p *Pace) Granted(now time.Time, keys []Key) {
	for _, k := range keys {
		if _, suspect := p.next[k]; suspect {
			p.next[k] = now.Add(suspectInterval)
		}
	}
}

// Has reports whether one of the keys is suspect.
func (p *Pace) Has(keys []Key) bool {
	if len(p.next) == 0 {
		return false
	}
	for _, k := range keys {
		if _, suspect := p.next[k]; suspect {
			return true
		}
	}
	return false
}
