package quarantine

import (
	"time"

	"github.com/peridotmount/peridotmount/dispatch"
)

// permitTTL is how long a permit lasts that is not renewed or given back.
const permitTTL = 30 * time.Second

// permits are those that this host has given, as the arbiter of a request, for
// a suspect to run: one at a time over all hosts. It has no clock.
type permits struct {
	held map[dispatch.Fingerprint]permit
}

type permit struct {
	host  string
	until time.Time
}

func newPermits() *permits {
	return &permits{held: make(map[dispatch.Fingerprint]permit)}
}

// take gives host the permit for a request, or renews it, and reports whether it
// did.
func (p *permits) take(f dispatch.Fingerprint, host string, now time.Time) bool {
	for g, other := range p.held {
		if !now.Before(other.until) {
			delete(p.held, g)
		}
	}
	if held, found := p.held[f]; found && held.host != host {
		return false
	}
	p.held[f] = permit{host: host, until: now.Add(permitTTL)}
	return true
}

// back takes the permit back from host.
func (p *permits) back(f dispatch.Fingerprint, host string) {
	if p.held[f].host == host {
		delete(p.held, f)
	}
}
