package quarantine

import (
	"time"

	"github.com/peridotmount/peridotmount/dispatch"
)

// permitTTL is the time after which a permit expires that is neither renewed nor
// released.
const permitTTL = 30 * time.Second

// permitTable holds the permits to run suspects that this host granted as their
// arbiter. A suspect has at most one permit at a time, over all hosts. The table has
// no clock.
type permitTable struct {
	held map[dispatch.Fingerprint]permit
}

type permit struct {
	host      string
	expiresAt time.Time
}

func newPermitTable() *permitTable {
	return &permitTable{held: make(map[dispatch.Fingerprint]permit)}
}

// acquire grants or renews host's permit for a request, and reports whether it did;
// it does not while another host holds the permit. It also deletes expired permits.
func (p *permitTable) acquire(f dispatch.Fingerprint, host string, now time.Time) bool {
	for fingerprint, other := range p.held {
		if !now.Before(other.expiresAt) {
			delete(p.held, fingerprint)
		}
	}
	if held, found := p.held[f]; found && held.host != host {
		return false
	}
	p.held[f] = permit{host: host, expiresAt: now.Add(permitTTL)}
	return true
}

// release ends the permit for a request if host holds it.
func (p *permitTable) release(f dispatch.Fingerprint, host string) {
	if p.held[f].host == host {
		delete(p.held, f)
	}
}
